package config

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEmptyValues(t *testing.T) {
	Convey("A number key without a value has its default, a string key without one is empty", t, func() {
		s := &Schema{}
		s.Add(Key{Section: "a", Name: "ratio", Kind: Float, Default: "0.1"}, Key{Section: "a", Name: "text", Default: "x"})
		set, err := s.Load("test", []byte("[a]\nratio =\ntext =\n"))
		So(err, ShouldBeNil)
		So(set.Float("a", "ratio"), ShouldEqual, 0.1)
		So(set.String("a", "text"), ShouldEqual, "")
	})
}

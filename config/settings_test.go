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

func TestOverrides(t *testing.T) {
	s := &Schema{}
	s.Add(Key{Section: "a", Name: "ratio", Kind: Float, Default: "0.1"}, Key{Section: "a", Name: "text", Default: "x"})
	for _, c := range []struct {
		name, override string
		ratio          float64
		text, err      string
	}{
		{"replaces the value of the file", "a.ratio=0.5", 0.5, "of the file", ""},
		{"sets what the file lacks", "a.text=one=two", 0.1, "one=two", ""},
		{"has no effect without a value", "a.text=", 0.1, "of the file", ""},
		{"is invalid without a section", "ratio=1", 0, "", "SECTION.NAME=VALUE"},
		{"is invalid without a value", "a.ratio", 0, "", "SECTION.NAME=VALUE"},
		{"is invalid with an unknown name", "a.rate=1", 0, "", "unknown key"},
		{"is invalid with a value of another kind", "a.ratio=many", 0, "", "not accepted"},
	} {
		Convey("An override "+c.name, t, func() {
			o, err := ParseOverride(c.override)
			var set *Settings
			if err == nil {
				set, err = s.Load("test", []byte("[a]\ntext = of the file\n"), o)
			}
			if c.err != "" {
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, c.err)
				return
			}
			So(err, ShouldBeNil)
			So(set.Float("a", "ratio"), ShouldEqual, c.ratio)
			So(set.String("a", "text"), ShouldEqual, c.text)
		})
	}
}

package quickstart

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestRun(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("The quickstart serves a complete four-stage response and prints its costs", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var out bytes.Buffer
		So(Run(ctx, &out), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "token11")
		So(out.String(), ShouldContainSubstring, "outcome: served")
		So(out.String(), ShouldContainSubstring, "rerank")
	})
}

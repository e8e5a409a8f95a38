package periodic

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRun(t *testing.T) {
	Convey("The function is not called again after the context has ended", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		calls := 0
		Run(ctx, time.Millisecond, func(time.Time) {
			if calls++; calls == 3 {
				cancel()
				time.Sleep(5 * time.Millisecond) // a tick is due when the call returns
			}
		})
		So(calls, ShouldEqual, 3)
	})
}

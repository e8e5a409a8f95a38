package kernel

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestLoggedErrorsHaveNoStack(t *testing.T) {
	Convey("A logged error takes one line, in both formats", t, func() {
		for _, format := range []string{"text", "json"} {
			settings, err := Schema().Load("t.ini", []byte("[instance]\nid = a\nzone = z\n[log]\nformat = "+format+"\n"))
			So(err, ShouldBeNil)
			var out bytes.Buffer
			logger, _ := NewLogger(settings, &out)
			logger.Warn("log service does not respond; retrying", "error", errors.Wrap(ErrLogUnavailable, "read"))
			So(out.String(), ShouldContainSubstring, "read: log service unavailable")
			So(out.String(), ShouldNotContainSubstring, "logger_test.go")
		}
	})
}

package kernel

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stalledWriter is a log output that blocks until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer // guarded by mu
}

// Write implements io.Writer.
func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestAsyncWriter(t *testing.T) {
	Convey("A blocked output does not delay writes, and the number of dropped lines is logged", t, func() {
		out := &stalledWriter{release: make(chan struct{})}
		w := NewAsyncWriter(out)
		line := []byte(strings.Repeat("x", 1000) + "\n")
		began := time.Now()
		for range 5000 {
			n, err := w.Write(line)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, len(line))
		}
		So(time.Since(began), ShouldBeLessThan, 5*time.Second)
		close(out.release)
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			w.mu.Lock()
			empty := w.waiting.Len() == 0
			w.mu.Unlock()
			if empty {
				break
			}
		}
		_, err := w.Write([]byte("last\n"))
		So(err, ShouldBeNil)
		So(w.Close(), ShouldBeNil)
		So(out.got.String(), ShouldContainSubstring, "log lines dropped")
		So(out.got.String(), ShouldEndWith, "last\n")
		_, err = w.Write(line)
		So(err, ShouldEqual, io.ErrClosedPipe)
	})
}

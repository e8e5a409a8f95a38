package transfer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLimits(t *testing.T) {
	const part = 30 * time.Millisecond // time between two parts of the response
	limits := Limits{Begin: 200 * time.Millisecond, Stall: 200 * time.Millisecond, Rest: time.Second}
	// get reads a response whose head and parts come after the given waits.
	get := func(limits Limits, waits ...time.Duration) ([]byte, error) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for _, wait := range waits {
				select {
				case <-time.After(wait):
				case <-r.Context().Done():
					return
				}
				if _, err := w.Write([]byte("x")); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
			}
		}))
		defer server.Close()
		ctx, call := Start(context.Background(), limits)
		defer call.Stop()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		So(err, ShouldBeNil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		defer resp.Body.Close()
		return io.ReadAll(call.Body(resp.Body))
	}
	steady := make([]time.Duration, 15)
	for i := range steady {
		steady[i] = part
	}
	Convey("A response that arrives steadily may take longer than any pause", t, func() {
		data, err := get(limits, steady...)
		So(err, ShouldBeNil)
		So(len(data), ShouldEqual, len(steady))
	})
	Convey("A response that does not begin in time fails", t, func() {
		_, err := get(limits, time.Second)
		So(err, ShouldNotBeNil)
	})
	Convey("A response that stops arriving fails", t, func() {
		_, err := get(limits, part, part, time.Second)
		So(err, ShouldNotBeNil)
	})
	Convey("A response that arrives without end fails after the time for the rest", t, func() {
		began := time.Now()
		_, err := get(Limits{Begin: limits.Begin, Stall: limits.Stall, Rest: 5 * part}, steady...)
		So(err, ShouldNotBeNil)
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
}

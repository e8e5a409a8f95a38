package claims

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/kernel"
)

// longLog is a stream with one record per second that returns 512 records per read.
type longLog struct {
	first, next uint64
	reads       int
}

func (l *longLog) Append(context.Context, string, []byte) (uint64, error) {
	return 0, kernel.ErrLogUnavailable
}

func (l *longLog) Read(_ context.Context, _ string, from uint64, _ time.Duration) (kernel.LogBatch, error) {
	l.reads++
	b := kernel.LogBatch{First: l.first, FirstTime: l.timeOf(l.first), Next: l.next}
	for o := max(from, l.first); o < l.next && len(b.Records) < 512; o++ {
		b.Records = append(b.Records, kernel.LogRecord{Offset: o, Time: l.timeOf(o)})
	}
	return b, nil
}

func (l *longLog) timeOf(offset uint64) time.Time { return time.UnixMilli(int64(offset) * 1000) }

func TestSeek(t *testing.T) {
	Convey("The state of a long stream starts just before the required history", t, func() {
		inCluster(t, 0, "window = 8m\nskew = 1m\nrestate = 5m\n", func(c *cluster) {
			m := c.nodes[0].Log
			l := &longLog{first: 1000, next: 41000}
			h := &kernel.Host{Log: l, Logger: m.host.Logger, Metrics: m.host.Metrics}
			s := newShardLog(&Log{host: h, rules: m.rules, restate: m.restate, shards: m.shards}, 0)
			So(s.load(context.Background()), ShouldBeNil)
			needed := l.next - 1 - uint64(m.requiredHistory()/time.Second)
			So(s.next(), ShouldBeLessThan, needed)
			So(s.next(), ShouldBeGreaterThanOrEqualTo, needed-seekPrecision)
			So(l.reads, ShouldBeLessThan, 12)
			So(s.catchUp(context.Background()), ShouldBeNil)
			So(s.next(), ShouldEqual, l.next)
		})
	})
}

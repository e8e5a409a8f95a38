package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCrashLedger(t *testing.T) {
	const guilty, innocent = 1, 2
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	Convey("Given a ledger", t, func() {
		l := NewCrashLedger()
		Convey("a request is refused after the second server died", func() {
			l.Broken(at(0), guilty, 10)
			So(l.Refuse(at(0), guilty), ShouldBeFalse)
			So(l.Suspect(at(0), guilty), ShouldBeTrue)
			l.Broken(at(5*time.Second), guilty, 11)
			So(l.Refuse(at(5*time.Second), guilty), ShouldBeTrue)
			Convey("for a while", func() {
				So(l.Refuse(at(time.Hour), guilty), ShouldBeFalse)
			})
			Convey("and at an instance that hears of it", func() {
				other := NewCrashLedger()
				other.Merge(at(6*time.Second), l.Records(at(6*time.Second), 8))
				So(other.Refuse(at(6*time.Second), guilty), ShouldBeTrue)
			})
		})
		Convey("a neighbour is cleared by its next success, also against old digests", func() {
			l.Broken(at(0), guilty, 10)
			l.Broken(at(0), innocent, 10)
			old := l.Records(at(0), 8)
			l.Succeeded(at(time.Second), innocent)
			l.Merge(at(2*time.Second), old)
			So(l.Suspect(at(2*time.Second), innocent), ShouldBeFalse)
			So(l.Suspect(at(2*time.Second), guilty), ShouldBeTrue)
		})
		Convey("many servers that break at once are charged to nobody", func() {
			for server := range uint64(4) {
				l.Broken(at(time.Duration(server)*time.Millisecond), innocent, server)
			}
			So(l.Suspect(at(time.Second), innocent), ShouldBeFalse)
		})
		Convey("a request that crashes one server after the other is no common cause", func() {
			for server := range uint64(4) {
				l.Broken(at(time.Duration(server)*300*time.Millisecond), guilty, server)
			}
			So(l.Refuse(at(time.Second), guilty), ShouldBeTrue)
			Convey("and stays refused when many servers break at once", func() {
				for server := range uint64(4) {
					l.Broken(at(2*time.Second), innocent, server)
				}
				So(l.Refuse(at(2*time.Second), guilty), ShouldBeTrue)
			})
		})
		Convey("its size is bounded", func() {
			for f := range uint64(3 * maxCrashRecords) {
				l.Broken(at(time.Duration(f)*2*time.Second), f, f)
				l.Succeeded(at(time.Duration(f)*2*time.Second), f-1)
			}
			So(l.Len(), ShouldBeLessThanOrEqualTo, maxCrashRecords)
			So(len(l.cleared), ShouldBeLessThanOrEqualTo, maxCrashRecords+1)
		})
	})
}

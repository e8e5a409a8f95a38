package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCrashLedger(t *testing.T) {
	const crasher, bystander = 1, 2
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	Convey("Given a ledger", t, func() {
		l := NewCrashLedger()
		Convey("a request is refused after the second server crashed", func() {
			l.ConnectionBroken(at(0), at(0), crasher, 10)
			So(l.Refuse(at(0), crasher), ShouldBeFalse)
			So(l.Suspect(at(0), crasher), ShouldBeTrue)
			l.ConnectionBroken(at(5*time.Second), at(5*time.Second), crasher, 11)
			So(l.Refuse(at(5*time.Second), crasher), ShouldBeTrue)
			Convey("until its charges expire", func() {
				So(l.Refuse(at(time.Hour), crasher), ShouldBeFalse)
			})
			Convey("also by an instance that merges the records", func() {
				other := NewCrashLedger()
				other.Merge(at(6*time.Second), l.Records(at(6*time.Second), 8))
				So(other.Refuse(at(6*time.Second), crasher), ShouldBeTrue)
			})
		})
		Convey("another request on the crashed server is cleared by its next success, and merging older records does not charge it again", func() {
			l.ConnectionBroken(at(0), at(0), crasher, 10)
			l.ConnectionBroken(at(0), at(0), bystander, 10)
			old := l.Records(at(0), 8)
			l.Succeeded(at(time.Second), bystander)
			l.Merge(at(2*time.Second), old)
			So(l.Suspect(at(2*time.Second), bystander), ShouldBeFalse)
			So(l.Suspect(at(2*time.Second), crasher), ShouldBeTrue)
		})
		Convey("no request is charged if the connections of many servers break at once", func() {
			for server := range uint64(4) {
				l.ConnectionBroken(at(time.Duration(server)*time.Millisecond), at(0), bystander, server)
			}
			So(l.Suspect(at(time.Second), bystander), ShouldBeFalse)
		})
		Convey("a request that crashes one server after another is charged", func() {
			for server := range uint64(4) {
				l.ConnectionBroken(at(time.Duration(server)*300*time.Millisecond), at(0), crasher, server)
			}
			So(l.Refuse(at(time.Second), crasher), ShouldBeTrue)
			Convey("and stays refused when the connections of many servers break at once", func() {
				for server := range uint64(4) {
					l.ConnectionBroken(at(2*time.Second), at(0), bystander, server)
				}
				So(l.Refuse(at(2*time.Second), crasher), ShouldBeTrue)
			})
		})
		Convey("a request that crashes several servers in a short time, each after the crash before, stays refused", func() {
			for server := range uint64(6) {
				sent := at(time.Duration(20*server) * time.Millisecond)
				l.ConnectionBroken(sent.Add(10*time.Millisecond), sent, crasher, server)
			}
			So(l.Refuse(at(200*time.Millisecond), crasher), ShouldBeTrue)
		})
		Convey("its size is bounded", func() {
			for f := range uint64(3 * maxCrashRecords) {
				l.ConnectionBroken(at(time.Duration(f)*2*time.Second), at(0), f, f)
				l.Succeeded(at(time.Duration(f)*2*time.Second), f-1)
			}
			So(l.Len(), ShouldBeLessThanOrEqualTo, maxCrashRecords)
			So(len(l.cleared), ShouldBeLessThanOrEqualTo, maxCrashRecords+1)
		})
	})
}

package partguard

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

func TestReportEncoding(t *testing.T) {
	Convey("A decoded report holds what was encoded", t, func() {
		at := time.UnixMilli(1773767424221)
		r := policy.PartReport{
			Charges:   []policy.CrashRecord{{Fingerprint: 7, Charges: []policy.CrashCharge{{Server: 1, At: at, Independent: true, Repeat: 2}}}},
			Successes: []policy.PartSuccess{{Part: 8, At: at.Add(time.Second)}},
		}
		decoded, err := decodeReport(encodeReport(r))
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, r)
	})
	Convey("A report with too many charges is rejected", t, func() {
		var r policy.PartReport
		for part := range uint64(maxWireCharges + 1) {
			r.Charges = append(r.Charges, policy.CrashRecord{Fingerprint: part, Charges: []policy.CrashCharge{{Server: 1}}})
		}
		_, err := decodeReport(encodeReport(r))
		So(err, ShouldNotBeNil)
	})
}

// memberList is a view of the fleet that a test sets.
type memberList struct {
	members   []kernel.FleetMember
	confirmed bool
}

func (l *memberList) Members() []kernel.FleetMember { return l.members }
func (l *memberList) Confirmed() bool               { return l.confirmed }

// newTestGuard returns the guard of an instance and its view of a fleet with another
// instance, the owner of a part.
func newTestGuard(part uint64) (*Guard, *memberList) {
	settings, err := kernel.Schema().Load("t.ini", []byte("[instance]\nid = self\nzone = hobart\n"))
	So(err, ShouldBeNil)
	self := kernel.FleetMember{ID: "self", Capacity: 1}
	fleet := &memberList{confirmed: true}
	for i := 0; fleet.members == nil; i++ {
		members := []kernel.FleetMember{self, {ID: fmt.Sprint("other-", i), Capacity: 1}}
		if partOwner(part, members) != self.ID {
			fleet.members = members
		}
	}
	g := newGuard()
	g.host = &kernel.Host{Settings: settings, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Fleet: fleet}
	return g, fleet
}

// TestRefusedRequestHasOneOwner guards against several instances that try a refused request
// at the same moment, since their views of the fleet differ for a short time.
func TestRefusedRequestHasOneOwner(t *testing.T) {
	const part = 7
	Convey("Given a refused request that another instance owns", t, func() {
		g, fleet := newTestGuard(part)
		start := time.Now()
		at := func(d time.Duration) time.Time { return start.Add(d) }
		for i := range 3 {
			now := at(time.Duration(i) * 200 * time.Millisecond)
			g.PartsCrashed(now, now, []uint64{part}, fmt.Sprint("server-", i))
		}
		try := func(now time.Time) bool { return g.TryRequest(now, []uint64{part}) }
		So(g.RefuseParts([]uint64{part}), ShouldBeTrue)
		Convey("this instance does not try it", func() {
			g.update(at(time.Second))
			So(try(at(1400*time.Millisecond)), ShouldBeFalse)
		})
		Convey("and that has just left the view, this instance tries it some time later", func() {
			fleet.members = fleet.members[:1]
			g.update(at(time.Second))
			So(try(at(1400*time.Millisecond)), ShouldBeFalse)
			So(try(at(2100*time.Millisecond)), ShouldBeTrue)
		})
		Convey("and a view that has lost it for a moment, this instance does not try it", func() {
			all := fleet.members
			fleet.members = all[:1]
			g.update(at(time.Second))
			fleet.members = all
			g.update(at(1500 * time.Millisecond))
			fleet.members = all[:1]
			g.update(at(2 * time.Second))
			So(try(at(2500*time.Millisecond)), ShouldBeFalse)
		})
		Convey("this instance does not try it while the others may not count it as a member", func() {
			fleet.members, fleet.confirmed = fleet.members[:1], false
			g.update(at(time.Second))
			So(try(at(2100*time.Millisecond)), ShouldBeFalse)
		})
	})
	Convey("An instance tries a refused request that it has owned from the beginning when the trial is due", t, func() {
		g, fleet := newTestGuard(part)
		fleet.members = fleet.members[:1]
		start := time.Now()
		for i := range 3 {
			now := start.Add(time.Duration(i) * 200 * time.Millisecond)
			g.PartsCrashed(now, now, []uint64{part}, fmt.Sprint("server-", i))
		}
		So(g.TryRequest(start.Add(1300*time.Millisecond), []uint64{part}), ShouldBeFalse)
		So(g.TryRequest(start.Add(1400*time.Millisecond), []uint64{part}), ShouldBeTrue)
	})
}

func FuzzDecodeReport(f *testing.F) {
	f.Add(encodeReport(policy.PartReport{Successes: []policy.PartSuccess{{Part: 1, At: time.UnixMilli(1)}}}))
	f.Add([]byte{0xa1})
	f.Fuzz(func(_ *testing.T, body []byte) {
		if r, err := decodeReport(body); err == nil {
			policy.NewPartLedger().Merge(time.Now(), r, false)
		}
	})
}

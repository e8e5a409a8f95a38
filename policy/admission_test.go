package policy

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	. "github.com/smartystreets/goconvey/convey"
)

// simTotals adds up the results of the named accounts.
func simTotals(accounts map[string]*simAccount, names ...string) (t simAccount) {
	for _, name := range names {
		a := accounts[name]
		t.offered += a.offered
		t.admitted += a.admitted
		t.served += a.served
		t.work += a.work
		t.wasted += a.wasted
	}
	return t
}

// modestFraction is the fraction of the capacity that each modest account
// requests.
const modestFraction = 0.1

var modest = []string{"a", "b", "c", "d"}

// greedyLoad returns sources that offer load times the capacity of 80 small
// requests a second. Each of four modest accounts offers a fraction of the
// capacity, one greedy account the remainder.
func greedyLoad(load, fraction float64) []simSource {
	const capacity = 80
	sources := []simSource{{"greedy", "small", capacity * (load - 4*fraction), time.Second}}
	for _, name := range modest {
		sources = append(sources, simSource{name, "small", capacity * fraction, time.Second})
	}
	return sources
}

func bothPolicies(seed uint64, sources []simSource) (standard, baseline map[string]*simAccount) {
	const length = 60 * time.Second
	standard = newSimulation(seed, NewStandardAdmission(), FairQueues{}, true).run(sources, length)
	baseline = newSimulation(seed, AdmitAll{}, FIFOQueues{}, false).run(sources, length)
	return standard, baseline
}

func ratio(n, of int) float64 { return float64(n) / float64(max(1, of)) }

func (a simAccount) String() string {
	return fmt.Sprintf("served %.3f of offered, %.3f of admitted, wasted %.3f of work",
		ratio(a.served, a.offered), ratio(a.served, a.admitted), ratio(int(a.wasted), int(a.work)))
}

func TestAdmissionOverload(t *testing.T) {
	all := append([]string{"greedy"}, modest...)
	for seed := uint64(1); seed <= 3; seed++ {
		atCapacity, _ := bothPolicies(seed, greedyLoad(1, modestFraction))
		for _, load := range []float64{0.7, 2, 4} {
			standard, baseline := bothPolicies(seed, greedyLoad(load, modestFraction))
			s, b := simTotals(standard, all...), simTotals(baseline, all...)
			m, bm := simTotals(standard, modest...), simTotals(baseline, modest...)
			t.Logf("seed %d, load %.1f, all: standard %v; baseline %v", seed, load, s, b)
			t.Logf("seed %d, load %.1f, four modest accounts: standard %v; baseline %v", seed, load, m, bm)
			check := func(what string, got, want float64) {
				if got < want {
					t.Errorf("seed %d, load %.1f: %s %.3f, want at least %.3f", seed, load, what, got, want)
				}
			}
			check("modest accounts served of offered", ratio(m.served, m.offered), 0.95)
			if load < 1 {
				check("served of offered", ratio(s.served, s.offered), 0.995)
				continue
			}
			check("served of admitted", ratio(s.served, s.admitted), 0.95)
			check("work not wasted", 1-ratio(int(s.wasted), int(s.work)), 0.95)
			reference := simTotals(atCapacity, all...)
			check("goodput against load 1", ratio(s.served, reference.served), 0.9)
		}
	}
}

// Guards against admitting requests that then miss their deadlines. The modest
// accounts use most of the capacity, and their calls are served before the waiting
// calls of the greedy account.
func TestAdmissionBusyAccounts(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		standard, baseline := bothPolicies(seed, greedyLoad(2, 0.22))
		t.Logf("seed %d, greedy: standard %v; baseline %v", seed, standard["greedy"], baseline["greedy"])
		m := simTotals(standard, modest...)
		t.Logf("seed %d, four modest accounts: standard %v; baseline %v", seed, m, simTotals(baseline, modest...))
		g := standard["greedy"]
		if got := ratio(g.served, g.admitted); got < 0.95 {
			t.Errorf("seed %d: greedy account served %.3f of admitted, want at least 0.95", seed, got)
		}
	}
}

func TestAdmissionSizeClasses(t *testing.T) {
	sources := []simSource{
		{"small", "small", 20, time.Second},
		{"large", "large", 12, 5 * time.Second},
	}
	for seed := uint64(1); seed <= 3; seed++ {
		standard, baseline := bothPolicies(seed, sources)
		t.Logf("seed %d, small: standard %v; baseline %v", seed, standard["small"], baseline["small"])
		t.Logf("seed %d, large: standard %v; baseline %v", seed, standard["large"], baseline["large"])
		if got := ratio(standard["small"].served, standard["small"].offered); got < 0.95 {
			t.Errorf("seed %d: small requests served %.3f of offered, want at least 0.95", seed, got)
		}
	}
}

func TestStandardAdmission(t *testing.T) {
	request := Request{Account: "a", Weight: 1, Deadline: epoch.Add(time.Second), Cost: 100}
	Convey("Given an admission", t, func() {
		a := NewStandardAdmission()
		stage := StageForecast{Service: 100 * time.Millisecond, ServiceHigh: 200 * time.Millisecond, Hold: 100 * time.Millisecond, InFlight: 4, Capacity: 4}
		Convey("a request in time is admitted", func() {
			d := a.Admit(epoch, request, []StageForecast{stage, stage})
			So(d.Admit, ShouldBeTrue)
			So(d.Predicted, ShouldBeBetween, 300*time.Millisecond, 500*time.Millisecond)
		})
		Convey("a request that would miss its deadline is refused with a retry delay", func() {
			stage.Ahead = 6 * time.Second
			d := a.Admit(epoch, request, []StageForecast{stage})
			So(d.Admit, ShouldBeFalse)
			So(d.Reason, ShouldEqual, reasonPredictedLate)
			So(d.RetryAfter, ShouldBeBetween, minRetryAfter, maxRetryAfter)
		})
		Convey("while calls queue, the account with the highest usage is refused first", func() {
			for range 20 {
				a.Admit(epoch, request, []StageForecast{stage})
			}
			other := request
			other.Account = "b"
			stage.Ahead = 1500 * time.Millisecond
			So(a.Admit(epoch, other, []StageForecast{stage}).Admit, ShouldBeTrue)
			d := a.Admit(epoch.Add(weightSumInterval), request, []StageForecast{stage})
			So(d.Admit, ShouldBeFalse)
			So(d.Reason, ShouldEqual, reasonOverFairShare)
		})
		Convey("the state of idle accounts is removed", func() {
			for i := range 570 {
				r := request
				r.Account = fmt.Sprint(i)
				a.Admit(epoch, r, nil)
				a.Finish(epoch, r, Finish{Cost: 100, Served: true})
			}
			So(a.accounts, ShouldHaveLength, 570)
			late := epoch.Add(5 * time.Minute)
			last := request
			last.Deadline = late.Add(time.Second)
			a.Admit(late, last, nil)
			a.Finish(late, last, Finish{Cost: 100, Served: true})
			So(a.accounts, ShouldHaveLength, 1)
		})
	})
}

func TestAccountSize(t *testing.T) {
	usage := unsafe.Sizeof(accountUsage{})
	waiting := unsafe.Sizeof(flow{})
	t.Logf("state of one account: %d bytes in admission; %d bytes in each queue with waiting calls, and %d bytes for each waiting call", usage, waiting, unsafe.Sizeof(Ticket{}))
	if usage > 64 || waiting > 192 {
		t.Errorf("state of one account takes %d and %d bytes, want at most 64 and 192", usage, waiting)
	}
}

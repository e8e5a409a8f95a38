package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

func newEven(on bool) *Forward {
	f := &Forward{}
	f.servers.ejections = policy.NoEjections{}
	f.even.on, f.even.servers = on, &f.servers
	return f
}

// TestSharedLoads guards against figures of other instances that replace newer ones, that
// are of an earlier start of the server, or that cannot be.
func TestSharedLoads(t *testing.T) {
	const ms = time.Millisecond
	now := time.Now().Add(time.Second)
	for _, c := range []struct {
		name     string
		off      bool
		own      time.Duration // age of the own report of 3 requests; 0 if there is none
		received kernel.LoadFigure
		want     float64
	}{
		{name: "unknown so far", received: kernel.LoadFigure{Requests: 7, Pace: 70, AgeMillis: 20}, want: 7},
		{name: "disturbed", received: kernel.LoadFigure{Requests: 7, Pace: 175, RestPace: 70, AgeMillis: 20}, want: 7},
		{name: "newer", own: 300 * ms, received: kernel.LoadFigure{Requests: 7, Pace: 70, AgeMillis: 20}, want: 7},
		{name: "older", own: 300 * ms, received: kernel.LoadFigure{Requests: 7, Pace: 70, AgeMillis: 400}, want: 3},
		{name: "of an earlier start", received: kernel.LoadFigure{Requests: 7, Pace: 70, AgeMillis: 60000}, want: -1},
		{name: "negative load", received: kernel.LoadFigure{Requests: -7, Pace: 70, AgeMillis: 20}, want: -1},
		{name: "without pace", received: kernel.LoadFigure{Requests: 7, AgeMillis: 20}, want: -1},
		{name: "negative pace at rest", received: kernel.LoadFigure{Requests: 7, Pace: 70, RestPace: -1, AgeMillis: 20}, want: -1},
		{name: "from the future", received: kernel.LoadFigure{Requests: 7, Pace: 70, AgeMillis: -20}, want: -1},
		{name: "age that overflows", received: kernel.LoadFigure{Requests: 7, Pace: 70, AgeMillis: 1 << 62}, want: -1},
		{name: "switched off", off: true, received: kernel.LoadFigure{Requests: 7, Pace: 70, AgeMillis: 20}, want: -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newEven(!c.off)
			s := f.servers.get(&catalog.Server{ID: "s"})
			if c.own > 0 {
				f.recordLoad(now.Add(-c.own), s, platform.ResponseInfo{HasLoad: true, Running: 2, Waiting: 1, Pace: 1})
			}
			c.received.Server = s.hash
			f.ObserveLoads(now, []kernel.LoadFigure{{Server: 1, Requests: 9, Pace: 9}, c.received})
			got := s.snapshot(now).figure
			if got.known != (c.want >= 0) || got.known && got.load != c.want {
				t.Errorf("known %v, load %v, want %v", got.known, got.load, c.want)
			}
			if rest := s.snapshot(now).figure.rest; c.received.RestPace > 0 && rest != float64(c.received.RestPace)/percent {
				t.Errorf("pace at rest %v, want that of the other instance", rest)
			}
			passed := f.RecentLoads(now, 4)
			if want := !c.off && c.want >= 0; (len(passed) == 1) != want || want && passed[0].Requests != int(c.want) {
				t.Errorf("passed on: %v", passed)
			}
		})
	}
}

// TestRecentLoads guards against messages that carry one server several times, or more
// servers than asked for.
func TestRecentLoads(t *testing.T) {
	f := newEven(true)
	now := time.Now()
	for i := range 3 * recentServers {
		s := f.servers.get(&catalog.Server{ID: fmt.Sprint(i % 40)})
		f.recordLoad(now, s, platform.ResponseInfo{HasLoad: true, Running: i, Pace: 1})
	}
	for most, want := range map[int]int{0: 0, 5: 5, 40: 40, 64: 40} {
		figures := f.RecentLoads(now, most)
		for i, g := range figures {
			if g.Requests != 3*recentServers-1-i {
				t.Errorf("%d: %+v", i, g)
			}
		}
		if len(figures) != want {
			t.Errorf("%d figures, want %d", len(figures), want)
		}
	}
}

// TestEvenOnlyWhereAsked guards against a changed choice on deployments that do not ask for
// it: without the setting, or without the pace in the reports.
func TestEvenOnlyWhereAsked(t *testing.T) {
	for _, c := range []struct{ on, pace, want bool }{{false, true, false}, {true, false, false}, {true, true, true}} {
		f := newEven(c.on)
		s := f.servers.get(&catalog.Server{ID: "s"})
		a := platform.ResponseInfo{HasLoad: true, Running: 2}
		if c.pace {
			a.Pace = 1.7
		}
		now := time.Now()
		f.recordLoad(now, s, a)
		if got := f.even.active([]serverSnapshot{{}, s.snapshot(now)}); got != c.want {
			t.Errorf("setting %v, pace %v: active %v", c.on, c.pace, got)
		}
		if got := len(f.RecentLoads(now, 4)) > 0; got != c.want {
			t.Errorf("setting %v, pace %v: passes on %v", c.on, c.pace, got)
		}
	}
}

// TestPredictedWork guards against requests that count alike whatever their size.
func TestPredictedWork(t *testing.T) {
	f := newEven(true)
	newRequest := func(in, out, hint int) *request {
		return &request{service: &catalog.Service{Name: "llm"}, call: platform.Call{InputTokens: in, OutputTokens: out, ExpectedOutput: hint}, sharedTokens: 500}
	}
	f.even.count(time.Now(), newRequest(1000, 50, 0)) // the mean: 500 + 500
	for _, c := range []struct {
		in, out, hint int
		min, max      float64
	}{{1000, 50, 0, 0.99, 1.01}, {2500, 50, 0, 2.3, 2.6}, {1000, 250, 50, 0.9, 1.1}, {100, 1, 0, minWork, minWork}, {900000, 1, 0, maxWork, maxWork}, {0, 0, 0, 1, 1}} {
		if got := f.even.count(time.Now(), newRequest(c.in, c.out, c.hint)); got < c.min || got > c.max {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

//go:build review

package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

const (
	// heartbeat is the time between two writes of a server's entry.
	heartbeat = 1200 * time.Millisecond
	// leaveTime is how long a server that drains goes on serving: the deployment's drain time
	// of 2 s and a little more.
	leaveTime = 2500 * time.Millisecond
)

// registration keeps the entry of a server in the store.
type registration struct {
	d            *deployment
	silent, once sync.Once
	ended        chan struct{}

	mu    sync.Mutex
	entry platformtest.Entry // guarded by mu
}

func (d *deployment) register(e platformtest.Entry) *registration {
	e.Born = time.Now().UnixMilli()
	r := &registration{d: d, entry: e, ended: make(chan struct{})}
	r.write()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.write()
			case <-r.ended:
				return
			}
		}
	}()
	d.note("server %s (%s %s at %s) registers", e.ID, e.Service, e.Version, e.Address)
	return r
}

func (r *registration) write() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ended:
		return
	default:
	}
	r.entry.Sequence++
	r.d.store.PutServer(r.entry)
}

// drain states that the server leaves.
func (r *registration) drain() {
	r.mu.Lock()
	r.entry.Draining = true
	r.mu.Unlock()
	r.write()
	r.d.note("server %s drains", r.entry.ID)
}

// silence ends the writes of the entry.
func (r *registration) silence() {
	r.silent.Do(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		close(r.ended)
	})
}

// end removes the entry.
func (r *registration) end() {
	r.silence()
	r.once.Do(func() { r.d.store.DropServer(r.entry.ID) })
}

// failure reports whether a server fails a request.
type failure func(platformtest.ReceivedRequest) bool

// group is the servers of one version of a plain service.
type group struct {
	d       *deployment
	version string
	// fails reports whether a server fails a request. It may be nil.
	fails failure
	// work is how long a request runs.
	work time.Duration

	servers       []*platformtest.Backend
	registrations []*registration

	mu       sync.Mutex
	arrivals []arrival // guarded by mu
	bad      []time.Time
}

type arrival struct {
	id string
	at time.Time
}

// startGroup starts a server of a version in each of the zones.
func (d *deployment) startGroup(service, version string, work time.Duration, fails failure, zones ...string) *group {
	g := &group{d: d, version: version, work: work, fails: fails}
	for _, zone := range zones {
		b := platformtest.NewBackend("i-" + version + "-" + zone)
		var running atomic.Int64
		b.Do = func(w http.ResponseWriter, _ *http.Request, s platformtest.ReceivedRequest) { g.serve(w, s, &running) }
		g.servers = append(g.servers, b)
		g.registrations = append(g.registrations, d.register(platformtest.Entry{ID: b.ID, Service: service, Address: b.Address(), Zone: zone, Version: version, Slots: plainSlots}))
	}
	d.onStop(g.stop)
	return g
}

func (g *group) serve(w http.ResponseWriter, s platformtest.ReceivedRequest, running *atomic.Int64) {
	g.mu.Lock()
	g.arrivals = append(g.arrivals, arrival{s.ID, s.At})
	g.mu.Unlock()
	defer running.Add(-1)
	if running.Add(1) > plainSlots+plainQueue {
		platformtest.Refuse(w, http.StatusServiceUnavailable)
		return
	}
	failed := g.fails != nil && g.fails(s)
	time.Sleep(g.work)
	if !failed {
		platformtest.Respond(w, http.StatusOK, "ok "+s.ID)
		return
	}
	g.mu.Lock()
	g.bad = append(g.bad, time.Now())
	g.mu.Unlock()
	platformtest.Respond(w, http.StatusInternalServerError, "failed "+s.ID)
}

// The slots and the queue of a plain server.
const (
	plainSlots = 6
	plainQueue = 24
)

// drain has the servers leave.
func (g *group) drain() {
	for _, r := range g.registrations {
		r.drain()
	}
	time.AfterFunc(leaveTime, g.stop)
}

// stop stops the servers at once.
func (g *group) stop() {
	for i, r := range g.registrations {
		r.end()
		g.servers[i].Close()
	}
	g.registrations = nil
	g.d.note("the servers of version %s have ended", g.version)
}

// arrived returns the arrivals.
func (g *group) arrived() []arrival {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]arrival(nil), g.arrivals...)
}

// badAnswer returns when the n-th bad answer was given, and whether there was one.
func (g *group) badAnswer(n int) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.bad) < n {
		return time.Time{}, false
	}
	return g.bad[n-1], true
}

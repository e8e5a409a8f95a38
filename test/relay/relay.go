// Package relay passes TCP connections and UDP datagrams on and injects
// faults, for tests. A Link has one listening address and one target.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bufferBytes = 64 << 10
	dialTimeout = 5 * time.Second
	udpIdle     = time.Minute
)

// Fault is the state of a link.
type Fault struct {
	// Delay is added to each direction.
	Delay time.Duration
	// Cut refuses new connections and drops datagrams; existing connections
	// are reset.
	Cut bool
	// Blackhole accepts connections and swallows everything, both ways.
	Blackhole bool
	// LoseForward and LoseBack swallow one direction.
	LoseForward, LoseBack bool
}

// Owner names the sender that a connection or datagram comes from, such as the
// process that has the source address.
type Owner func(source net.Addr) string

// link is what TCP and UDP links share.
type link struct {
	fault  atomic.Pointer[Fault]
	owner  Owner
	mu     sync.Mutex
	owned  map[string]Fault // by sender; guarded by mu
	target atomic.Pointer[string]
	lost   atomic.Int64
	done   chan struct{}
	once   sync.Once
	wait   sync.WaitGroup
}

// Lost counts the datagrams and parts of streams that were swallowed.
func (l *link) Lost() int { return int(l.lost.Load()) }

// Set replaces the faults of the link.
func (l *link) Set(f Fault) { l.fault.Store(&f) }

// Retarget changes where new connections and datagrams go.
func (l *link) Retarget(address string) { l.target.Store(&address) }

// SetFor replaces the faults that only one sender meets. They take the place of
// the link's own; the zero value ends them.
func (l *link) SetFor(name string, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f == (Fault{}) {
		delete(l.owned, name)
		return
	}
	if l.owned == nil {
		l.owned = make(map[string]Fault)
	}
	l.owned[name] = f
}

// sender is where a connection or datagram comes from. Its name is looked up
// once, when a fault first asks for it.
type sender struct {
	source net.Addr
	once   sync.Once
	name   string
}

func (l *link) nameOf(s *sender) string {
	s.once.Do(func() { s.name = l.owner(s.source) })
	return s.name
}

// get returns the faults that a sender meets.
func (l *link) get(s *sender) Fault {
	l.mu.Lock()
	special := len(l.owned) > 0
	l.mu.Unlock()
	if special && l.owner != nil {
		name := l.nameOf(s)
		l.mu.Lock()
		f, ok := l.owned[name]
		l.mu.Unlock()
		if ok {
			return f
		}
	}
	return *l.fault.Load()
}

func (l *link) init(target string, owner Owner) {
	l.owner = owner
	l.done = make(chan struct{})
	l.Set(Fault{})
	l.Retarget(target)
}

// swallows reports whether a direction loses its bytes now.
func (f Fault) swallows(forward bool) bool {
	return f.Blackhole || (forward && f.LoseForward) || (!forward && f.LoseBack)
}

// pause waits for a time and reports whether the link lives on.
func (l *link) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}

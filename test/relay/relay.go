// Package relay forwards TCP connections and UDP datagrams and injects network
// faults for tests. A link has one listening address and one target.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bufferBytes    = 64 << 10
	dialTimeout    = 5 * time.Second
	udpIdleTimeout = time.Minute
)

// Fault is the set of faults that a link injects; the zero value injects none.
type Fault struct {
	// Delay is added in each direction.
	Delay time.Duration
	// Cut refuses new connections and drops datagrams; existing connections
	// are reset.
	Cut bool
	// Blackhole accepts connections and drops all data in both directions.
	Blackhole bool
	// LoseForward drops data to the target, LoseBack data to the sender.
	LoseForward, LoseBack bool
}

// Identify returns the name of the sender of a connection or datagram, such as
// the process that uses the source address.
type Identify func(source net.Addr) string

// link is the common part of TCP and UDP links.
type link struct {
	fault        atomic.Pointer[Fault]
	identify     Identify
	mu           sync.Mutex
	senderFaults map[string]Fault // by sender; guarded by mu
	target       atomic.Pointer[string]
	lost         atomic.Int64
	done         chan struct{}
	once         sync.Once
	wait         sync.WaitGroup
}

// Lost returns the number of dropped datagrams and chunks of streams.
func (l *link) Lost() int { return int(l.lost.Load()) }

// Set replaces the faults of the link.
func (l *link) Set(f Fault) { l.fault.Store(&f) }

// Retarget changes the target of new connections and of datagrams from new
// source addresses.
func (l *link) Retarget(address string) { l.target.Store(&address) }

// SetFor replaces the faults of one sender. They override the link's faults; the
// zero value removes the override.
func (l *link) SetFor(name string, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f == (Fault{}) {
		delete(l.senderFaults, name)
		return
	}
	if l.senderFaults == nil {
		l.senderFaults = make(map[string]Fault)
	}
	l.senderFaults[name] = f
}

// sender is the source of a connection or datagram. Its name is looked up once,
// when it is first needed.
type sender struct {
	source net.Addr
	once   sync.Once
	name   string
}

func (l *link) senderName(s *sender) string {
	s.once.Do(func() { s.name = l.identify(s.source) })
	return s.name
}

// faultFor returns the faults that apply to a sender.
func (l *link) faultFor(s *sender) Fault {
	l.mu.Lock()
	hasSenderFaults := len(l.senderFaults) > 0
	l.mu.Unlock()
	if hasSenderFaults && l.identify != nil {
		name := l.senderName(s)
		l.mu.Lock()
		f, ok := l.senderFaults[name]
		l.mu.Unlock()
		if ok {
			return f
		}
	}
	return *l.fault.Load()
}

func (l *link) init(target string, identify Identify) {
	l.identify = identify
	l.done = make(chan struct{})
	l.Set(Fault{})
	l.Retarget(target)
}

// drops reports whether the fault drops the data of a direction: to the target
// or back to the sender.
func (f Fault) drops(toTarget bool) bool {
	return f.Blackhole || (toTarget && f.LoseForward) || (!toTarget && f.LoseBack)
}

// sleep waits for a duration and reports whether the link is still open.
func (l *link) sleep(d time.Duration) bool {
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

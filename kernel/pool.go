package kernel

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/policy"
)

// Pool is one pool of a snapshot.
type Pool struct {
	Config  *config.Pool
	Servers []*Server
	host    *Host
	tables  *config.Tables
	waiters *waiters
}

// waiters holds the calls that wait for a call slot of a pool.
type waiters struct {
	mu    sync.Mutex
	queue policy.Queue             // guarded by mu
	woken map[uint64]chan struct{} // guarded by mu
	next  uint64                   // guarded by mu
}

// wait queues a ticket and returns the channel that is closed when it is the
// ticket's turn to try again.
func (w *waiters) wait(now time.Time, t policy.Ticket) (uint64, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	t.ID = w.next
	if w.woken == nil {
		w.woken = make(map[uint64]chan struct{})
	}
	ch := make(chan struct{})
	w.woken[t.ID] = ch
	w.queue.Push(now, t)
	return t.ID, ch
}

// leave takes a ticket out. It reports whether the ticket had been woken.
func (w *waiters) leave(id uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, waiting := w.woken[id]; !waiting {
		return true
	}
	delete(w.woken, id)
	w.queue.Remove(id)
	return false
}

// wake lets the next ticket try again.
func (w *waiters) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.queue.Pop(time.Now())
	if !ok {
		return
	}
	close(w.woken[t.ID])
	delete(w.woken, t.ID)
}

func (w *waiters) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Len()
}

// want is what a stage call asks of a pool.
type want struct {
	ticket  policy.Ticket
	call    policy.Call
	version string
	tried   []string // IDs of servers that failed the stage already
}

// view shows a pool's servers to placement.
type view struct {
	pool *Pool
	want *want
	now  int64
	zone string
	// second is true if servers that were tried already are usable again.
	second bool
}

// Len implements policy.View.
func (v *view) Len() int { return len(v.pool.Servers) }

// At implements policy.View.
func (v *view) At(i int) policy.Candidate {
	s := v.pool.Servers[i]
	return s.candidate(v.usable(s), v.zone)
}

func (v *view) usable(s *Server) bool {
	if s.Config.Leaving || v.pool.tables.ZoneOut(s.Config.Zone) {
		return false
	}
	if v.want.version != "" && v.pool.Config.Versioned && s.Config.Version != v.want.version {
		return false
	}
	if s.ejected.Load() > v.now {
		return false
	}
	return v.second || !v.wasTried(s)
}

func (v *view) wasTried(s *Server) bool {
	for _, id := range v.want.tried {
		if id == s.ID {
			return true
		}
	}
	return false
}

// acquire takes a call slot on the server that placement chooses, waiting in
// the pool's queue while all are taken. It returns nil when the context ends.
func (p *Pool) acquire(ctx context.Context, w *want) *Server {
	for {
		if s := p.try(w); s != nil {
			return s
		}
		id, turn := p.waiters.wait(time.Now(), w.ticket)
		// A slot may have come free between the try and the wait.
		if s := p.try(w); s != nil {
			if p.waiters.leave(id) {
				p.waiters.wake()
			}
			return s
		}
		select {
		case <-turn:
		case <-ctx.Done():
			if p.waiters.leave(id) {
				p.waiters.wake()
			}
			return nil
		}
	}
}

// try takes a call slot if one is free now.
func (p *Pool) try(w *want) *Server {
	now := time.Now()
	v := &view{pool: p, want: w, now: now.UnixNano(), zone: p.host.Zone()}
	for range len(p.Servers) + 1 {
		w.call.Random = rand.Uint64()
		choice := p.host.Decisions.Placement.Choose(now, w.call, v)
		if choice.Index == policy.NoServer {
			if len(w.tried) == 0 || v.second {
				return nil
			}
			v.second = true
			continue
		}
		if s := p.Servers[choice.Index]; s.acquire() {
			return s
		}
	}
	return nil
}

// release gives a call slot back and lets the next call try.
func (p *Pool) release(s *Server) {
	s.release()
	p.waiters.wake()
}

// hasServer reports whether any server of the pool may get calls of a version.
func (p *Pool) hasServer(version string) bool {
	v := &view{pool: p, want: &want{version: version}, second: true}
	for _, s := range p.Servers {
		if v.usable(s) {
			return true
		}
	}
	return false
}

// forecast is what admission knows of a stage on this pool.
func (p *Pool) forecast(stage config.Stage) policy.StageForecast {
	f := policy.StageForecast{Pool: p.Config.Name, Waiting: p.waiters.len(), CostWeight: stage.CostWeight}
	var expected, known int64
	for _, s := range p.Servers {
		f.InFlight += int(s.inFlight.Load())
		f.Capacity += int(s.allowance.Load())
		if e := s.expected.Load(); e > 0 {
			expected += e
			known++
		}
	}
	if known > 0 {
		f.Service = time.Duration(expected / known)
		f.ServiceHigh = f.Service
	}
	return f
}

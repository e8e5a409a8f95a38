package standin

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// sequence is one call in an engine's batch.
type sequence struct {
	call     *activeCall
	priority int
	left     int
	total    int
	prefill  time.Duration
	// tokens gets one value a token and is closed at the end.
	tokens chan struct{}
	// work is the sequence's part of the engine's time, in nanoseconds.
	work atomic.Int64
}

// worked is the sequence's part of the engine's time.
func (s *sequence) worked() time.Duration { return time.Duration(s.work.Load()) }

// batch runs an engine's sequences step by step. Its goroutine lives while
// there are sequences.
type batch struct {
	engine *Engine

	mu      sync.Mutex
	waiting []*sequence // by priority, then arrival; guarded by mu
	running []*sequence // guarded by mu
	active  bool        // guarded by mu
}

func (b *batch) add(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := len(b.waiting)
	for at > 0 && b.waiting[at-1].priority < s.priority {
		at--
	}
	b.waiting = slices.Insert(b.waiting, at, s)
	if !b.active {
		b.active = true
		go b.loop()
	}
}

// remove takes a cancelled sequence out; a finished one is out already.
func (b *batch) remove(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
	if i := slices.Index(b.running, s); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.engine.work(s.call, -1)
	}
}

func (b *batch) loop() {
	for {
		d, ok := b.plan()
		if !ok {
			return
		}
		time.Sleep(d)
		b.step()
	}
}

// plan fills the batch and returns the time of its next step.
func (b *batch) plan() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine
	var prefill time.Duration
	for len(b.waiting) > 0 && len(b.running) < e.Capacity {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.running = append(b.running, s)
		e.work(s.call, 1)
		prefill += s.prefill
	}
	if len(b.running) == 0 {
		b.active = false
		return 0, false
	}
	slow := 1.0
	for _, s := range b.running {
		slow = max(slow, e.slowness(s.call))
	}
	d := e.Step + time.Duration(len(b.running)-1)*e.PerCall + prefill
	d = time.Duration(float64(d) * slow)
	part := int64(d) / int64(len(b.running))
	for _, s := range b.running {
		s.work.Add(part)
	}
	return d, true
}

// step gives every running sequence a token.
func (b *batch) step() {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stay []*sequence
	b.engine.generated(len(b.running))
	for _, s := range b.running {
		s.left--
		if s.left >= 0 {
			s.tokens <- struct{}{}
		}
		if s.left > 0 && !b.engine.gone(s.call) {
			stay = append(stay, s)
			continue
		}
		close(s.tokens)
		b.engine.work(s.call, -1)
	}
	b.running = stay
}

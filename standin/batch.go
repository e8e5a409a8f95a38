package standin

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// sequence is one call in the batch of an engine.
type sequence struct {
	call      *activeCall
	priority  int
	remaining int
	total     int
	prefill   time.Duration
	// tokens receives one value per token and is closed at the end.
	tokens chan struct{}
	// engineNanos is the sequence's share of the engine time, in nanoseconds.
	engineNanos atomic.Int64
}

// engineTime returns the sequence's share of the engine time.
func (s *sequence) engineTime() time.Duration { return time.Duration(s.engineNanos.Load()) }

// batch runs the sequences of an engine step by step. Its goroutine runs only while
// there are sequences.
type batch struct {
	engine *Engine

	mu          sync.Mutex
	waiting     []*sequence // by descending priority, then arrival; guarded by mu
	running     []*sequence // guarded by mu
	loopRunning bool        // guarded by mu
}

func (b *batch) add(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := len(b.waiting)
	for at > 0 && b.waiting[at-1].priority < s.priority {
		at--
	}
	b.waiting = slices.Insert(b.waiting, at, s)
	if !b.loopRunning {
		b.loopRunning = true
		go b.loop()
	}
}

// remove removes a sequence that was cancelled. It does nothing for a sequence that
// has ended.
func (b *batch) remove(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
	if i := slices.Index(b.running, s); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.engine.addRunning(s.call, -1)
	}
}

func (b *batch) loop() {
	for {
		d, ok := b.nextStep()
		if !ok {
			return
		}
		time.Sleep(d)
		b.step()
	}
}

// nextStep admits waiting sequences up to the capacity and returns the duration of
// the next step. It returns false if there are no sequences.
func (b *batch) nextStep() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine
	var prefill time.Duration
	for len(b.waiting) > 0 && len(b.running) < e.Capacity {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.running = append(b.running, s)
		e.addRunning(s.call, 1)
		prefill += s.prefill
	}
	if len(b.running) == 0 {
		b.loopRunning = false
		return 0, false
	}
	slow := 1.0
	for _, s := range b.running {
		slow = max(slow, e.slowness(s.call))
	}
	d := e.Step + time.Duration(len(b.running)-1)*e.PerCall + prefill
	d = time.Duration(float64(d) * slow)
	share := int64(d) / int64(len(b.running))
	for _, s := range b.running {
		s.engineNanos.Add(share)
	}
	return d, true
}

// step generates one token for every running sequence and removes those that ended.
func (b *batch) step() {
	b.mu.Lock()
	defer b.mu.Unlock()
	var remaining []*sequence
	b.engine.addTokens(len(b.running))
	for _, s := range b.running {
		s.remaining--
		if s.remaining >= 0 {
			s.tokens <- struct{}{}
		}
		if s.remaining > 0 && !b.engine.restartedSince(s.call) {
			remaining = append(remaining, s)
			continue
		}
		close(s.tokens)
		b.engine.addRunning(s.call, -1)
	}
	b.running = remaining
}

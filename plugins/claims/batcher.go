package claims

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// Bounds of a batch.
const (
	maxBatchBytes    = 200 << 10
	entryOverhead    = 400 // bytes of an entry without its answer, at most about
	maxAppendTries   = 3
	readBackTimeout  = 2 * time.Second
	appendRetryDelay = 50 * time.Millisecond
)

// pendingAppend is a group of entries on their way to the log.
type pendingAppend struct {
	entries []claim.Entry
	done    chan struct{} // closed once err is set
	err     error
}

func (t *pendingAppend) size() int {
	size := 0
	for _, e := range t.entries {
		size += entryOverhead + len(e.ID.Account) + len(e.ID.Route)
		if e.Answer != nil {
			size += len(e.Answer.Body) + len(e.Answer.ContentType)
		}
	}
	return size
}

func (t *pendingAppend) complete(err error) {
	t.err = err
	close(t.done)
}

// submit appends entries and waits until the fold has them. The error is
// kernel.ErrLogUnavailable if they are surely not on the log, and
// kernel.ErrAppendUnknown if that is not known. No entries make a mark, which
// moves the stream's time on.
func (s *shardLog) submit(ctx context.Context, entries ...claim.Entry) error {
	t := &pendingAppend{entries: entries, done: make(chan struct{})}
	s.mu.Lock()
	s.queue = append(s.queue, t)
	s.lastUsed = time.Now()
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-t.done:
		return t.err
	case <-ctx.Done():
	case <-s.module.ctx.Done():
	}
	if s.withdraw(t) {
		return kernel.ErrLogUnavailable
	}
	return kernel.ErrAppendUnknown
}

// withdraw takes a ticket out of the queue, if it is still there.
func (s *shardLog) withdraw(t *pendingAppend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.queue, t)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

// takeBatch removes as many tickets as fit into one record.
func (s *shardLog) takeBatch() []*pendingAppend {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, size, entries := 0, 0, 0
	for n < len(s.queue) {
		t := s.queue[n]
		size += t.size()
		entries += len(t.entries)
		if n > 0 && (size > maxBatchBytes || entries > claim.MaxEntries) {
			break
		}
		n++
	}
	taken := slices.Clone(s.queue[:n])
	s.queue = slices.Delete(s.queue, 0, n)
	return taken
}

// run appends batches until the context ends, at the shard's pace.
func (s *shardLog) run(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for s.hasQueued() {
			if s.limiter.Wait(ctx) != nil {
				return
			}
			s.flush(ctx)
		}
	}
}

func (s *shardLog) hasQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0
}

// flush appends one batch and ends its tickets.
func (s *shardLog) flush(ctx context.Context) {
	tickets := s.takeBatch()
	if len(tickets) == 0 {
		return
	}
	b := claim.Batch{Version: claim.Version, ID: claim.Attempt(uuid.New()), Rules: s.module.rules.Fingerprint()}
	for _, t := range tickets {
		b.Entries = append(b.Entries, t.entries...)
	}
	err := s.append(ctx, b)
	for _, t := range tickets {
		t.complete(err)
	}
}

// append puts a batch on the log and reads up to it. After a lost answer it
// reads back before it sends the batch again.
func (s *shardLog) append(ctx context.Context, b claim.Batch) error {
	if !s.loaded() {
		if !s.module.circuit.allow(time.Now()) || s.catchUp(ctx) != nil {
			return kernel.ErrLogUnavailable
		}
	}
	data := b.Encode()
	maybe := false
	for try := range maxAppendTries {
		if try > 0 && !(s.limiter.Wait(ctx) == nil && backoff.Sleep(ctx, backoff.Jitter(appendRetryDelay))) {
			break
		}
		if !s.module.circuit.allow(time.Now()) {
			break
		}
		landed, sent := s.tryAppend(ctx, b, data)
		if landed {
			return nil
		}
		maybe = maybe || sent
	}
	if maybe {
		return kernel.ErrAppendUnknown
	}
	return kernel.ErrLogUnavailable
}

// tryAppend makes one append. Landed means that the batch is on the log and folded;
// sent means that it may be.
func (s *shardLog) tryAppend(ctx context.Context, b claim.Batch, data []byte) (landed, sent bool) {
	m := s.module
	stopTail := s.tail(ctx)
	offset, err := m.host.Log.Append(ctx, s.stream, data)
	stopTail(err == nil)
	m.recordResult(ctx, err)
	m.host.Counter("claim_appends").Inc(1)
	m.host.Counter("claim_entries").Inc(int64(len(b.Entries)))
	if errors.Is(err, kernel.ErrLogUnavailable) {
		return false, false
	}
	reading, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	if err == nil {
		return s.readTo(reading, offset) == nil, true
	}
	m.host.Counter("claim_answers_lost").Inc(1)
	return s.catchUp(reading) == nil && s.hasBatch(b.ID), true
}

// tail reads the stream's next records while an append is on its way, which
// saves the time of a read after it. The function that it returns waits for the
// read if the append went well, and ends it otherwise.
func (s *shardLog) tail(ctx context.Context) func(appended bool) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.readNext(ctx)
	}()
	return func(appended bool) {
		if !appended {
			cancel()
		}
		<-done
		cancel()
	}
}

// recordResult tells the circuit how a call of the log went. A call that was cut short
// by its caller says nothing of the log.
func (m *Log) recordResult(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	if !m.circuit.record(time.Now(), err == nil) {
		return
	}
	if err != nil {
		m.host.Logger.Warn("claims: the log is out of reach", "error", err)
		return
	}
	m.host.Logger.Info("claims: the log is back")
}

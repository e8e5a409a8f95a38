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

// Limits and times of a batch append.
const (
	maxBatchBytes    = 200 << 10
	entryOverhead    = 400 // approximate upper bound of an entry's bytes without its answer
	maxAppendTries   = 3
	readBackTimeout  = 2 * time.Second
	appendRetryDelay = 50 * time.Millisecond
)

// pendingAppend is a group of entries that waits to be appended to the log.
type pendingAppend struct {
	entries []claim.Entry
	done    chan struct{} // closed once err is set
	err     error
}

func (p *pendingAppend) size() int {
	size := 0
	for _, e := range p.entries {
		size += entryOverhead + len(e.ID.Account) + len(e.ID.Route)
		if e.Answer != nil {
			size += len(e.Answer.Body) + len(e.Answer.ContentType)
		}
	}
	return size
}

func (p *pendingAppend) complete(err error) {
	p.err = err
	close(p.done)
}

// submit appends entries and waits until the shard state includes them. The error
// is kernel.ErrLogUnavailable if the entries are certainly not on the log, and
// kernel.ErrAppendUnknown if they may be. A call without entries appends a
// heartbeat record, which advances the time of the stream.
func (s *shardLog) submit(ctx context.Context, entries ...claim.Entry) error {
	p := &pendingAppend{entries: entries, done: make(chan struct{})}
	s.mu.Lock()
	s.queue = append(s.queue, p)
	s.lastUsed = time.Now()
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
	case <-s.module.ctx.Done():
	}
	if s.withdraw(p) {
		return kernel.ErrLogUnavailable
	}
	return kernel.ErrAppendUnknown
}

// withdraw removes a pending append from the queue. It returns false if the append
// has already been taken from the queue.
func (s *shardLog) withdraw(p *pendingAppend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.queue, p)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

// takeBatch removes from the queue as many pending appends as fit into one record.
func (s *shardLog) takeBatch() []*pendingAppend {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, size, entries := 0, 0, 0
	for n < len(s.queue) {
		p := s.queue[n]
		size += p.size()
		entries += len(p.entries)
		if n > 0 && (size > maxBatchBytes || entries > claim.MaxEntries) {
			break
		}
		n++
	}
	taken := slices.Clone(s.queue[:n])
	s.queue = slices.Delete(s.queue, 0, n)
	return taken
}

// run appends batches at the rate of the limiter until the context ends.
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

// flush appends one batch and completes its pending appends.
func (s *shardLog) flush(ctx context.Context) {
	pending := s.takeBatch()
	if len(pending) == 0 {
		return
	}
	b := claim.Batch{Version: claim.Version, ID: claim.Attempt(uuid.New()), Rules: s.module.rules.Fingerprint()}
	for _, p := range pending {
		b.Entries = append(b.Entries, p.entries...)
	}
	err := s.append(ctx, b)
	for _, p := range pending {
		p.complete(err)
	}
}

// append appends a batch to the log and reads up to its record. If the response
// is lost, it looks for the batch in the log before it sends it again.
func (s *shardLog) append(ctx context.Context, b claim.Batch) error {
	if !s.loaded() {
		if !s.module.circuit.allow(time.Now()) || s.catchUp(ctx) != nil {
			return kernel.ErrLogUnavailable
		}
	}
	mayBeAppended := false
	for try := range maxAppendTries {
		if try > 0 && !(s.limiter.Wait(ctx) == nil && backoff.Sleep(ctx, backoff.Jitter(appendRetryDelay))) {
			break
		}
		if !s.module.circuit.allow(time.Now()) {
			break
		}
		appended, sent := s.tryAppend(ctx, b)
		if appended {
			return nil
		}
		mayBeAppended = mayBeAppended || sent
	}
	if mayBeAppended {
		return kernel.ErrAppendUnknown
	}
	return kernel.ErrLogUnavailable
}

// tryAppend appends a batch once. appended means that the batch is on the log and
// in the shard state; sent means that it may be on the log.
func (s *shardLog) tryAppend(ctx context.Context, b claim.Batch) (appended, sent bool) {
	m := s.module
	b.Era = s.era()
	next := s.next()
	stopTail := s.tail(ctx)
	offset, err := m.host.Log.Append(ctx, s.stream, b.Encode())
	stopTail(err == nil)
	m.recordResult(ctx, err)
	m.host.Counter("claim_appends").Inc(1)
	m.host.Counter("claim_entries").Inc(int64(len(b.Entries)))
	if errors.Is(err, kernel.ErrLogUnavailable) {
		return false, false
	}
	reading, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	if err == nil && offset >= next {
		return s.readTo(reading, offset) == nil, true
	}
	if err != nil {
		m.host.Counter("claim_answers_lost").Inc(1)
	}
	// An offset below the next one shows that records that were read are lost.
	return s.catchUp(reading) == nil && s.hasBatch(b.ID), true
}

// tail reads the next records of the stream while an append is in flight, which
// saves a read after the append. The returned function waits for the read if the
// append succeeded, and cancels it otherwise.
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

// recordResult reports the result of a log call to the circuit breaker. A call
// that its own caller cancelled does not count as a failure of the log.
func (m *Log) recordResult(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	if !m.circuit.record(time.Now(), err == nil) {
		return
	}
	if err != nil {
		m.host.Logger.Warn("claims: log service unreachable; new claims are refused until it responds", "error", err)
		return
	}
	m.host.Logger.Info("claims: log service reachable again")
}

package claims

import (
	"context"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// recentBatches is how many of its own batches a shard looks for after a lost
// answer.
const recentBatches = 256

// shardLog is one stream of claims as this instance sees it: the fold of the
// records read so far, and the entries that wait to be appended.
type shardLog struct {
	owner  *Log
	number int
	stream string
	wake   chan struct{}
	pace   *rate.Limiter

	// reading holds one token while a read runs, so that records are applied in
	// order. A channel lets those who wait keep to their deadlines.
	reading  chan struct{}
	complete time.Time // when the last read to the end began; guarded by reading

	mu      sync.Mutex
	fold    *claim.Shard  // nil until opened; guarded by mu
	changed chan struct{} // closed at the next change of fold; guarded by mu
	queue   []*ticket     // guarded by mu
	batches map[claim.Attempt]struct{}
	order   []claim.Attempt // of batches, oldest first
	used    time.Time       // last use by a request; guarded by mu
	grown   time.Time       // when a record was last applied; guarded by mu
}

func newShardLog(m *Log, number int) *shardLog {
	return &shardLog{
		owner: m, number: number, stream: "claims/" + strconv.Itoa(number),
		wake: make(chan struct{}, 1), changed: make(chan struct{}), reading: make(chan struct{}, 1),
		batches: make(map[claim.Attempt]struct{}),
		pace:    rate.NewLimiter(m.pace, burst),
	}
}

// opened reports whether the shard has a fold.
func (s *shardLog) opened() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold != nil
}

// find asks the fold. It reports false if there is none yet.
func (s *shardLog) find(id claim.ID, a claim.Attempt, body claim.Hash) (claim.Finding, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = time.Now()
	if s.fold == nil {
		return claim.Finding{}, false
	}
	return s.fold.Find(id, a, body), true
}

// change returns a channel that is closed once the fold has changed.
func (s *shardLog) change() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// catchUp reads all records that the log has now.
func (s *shardLog) catchUp(ctx context.Context) error { return s.readTo(ctx, 0) }

// readTo reads at least up to an offset, and to the stream's end if it is 0.
// Callers that waited for a read of others which began after their own call
// share its result.
func (s *shardLog) readTo(ctx context.Context, offset uint64) error {
	called := time.Now()
	if err := s.beginReading(ctx); err != nil {
		return err
	}
	defer s.endReading()
	if offset == 0 && s.complete.After(called) {
		return nil
	}
	began := time.Now()
	if err := s.readAll(ctx, offset); err != nil {
		return err
	}
	if offset == 0 {
		s.complete = began
	}
	return nil
}

// beginReading waits for the reads of others, no longer than the context lives.
func (s *shardLog) beginReading(ctx context.Context) error {
	select {
	case s.reading <- struct{}{}:
		return nil
	case <-ctx.Done():
		return kernel.ErrLogUnavailable
	}
}

func (s *shardLog) endReading() { <-s.reading }

// readAll reads batch after batch. The caller holds reading.
func (s *shardLog) readAll(ctx context.Context, offset uint64) error {
	if !s.opened() {
		if err := s.open(ctx); err != nil {
			return err
		}
	}
	for {
		next := s.next()
		if offset > 0 && next > offset {
			return nil
		}
		batch, err := s.read(ctx, max(1, next))
		if err != nil {
			return err
		}
		s.apply(batch)
		if offset == 0 && s.next() >= batch.Next {
			return nil
		}
		if ctx.Err() != nil {
			return kernel.ErrLogUnavailable
		}
	}
}

// readNext waits for the next records and reads them.
func (s *shardLog) readNext(ctx context.Context) error {
	if err := s.beginReading(ctx); err != nil {
		return err
	}
	defer s.endReading()
	b, err := s.owner.host.Log.Read(ctx, s.stream, max(1, s.next()), readBackTime)
	s.owner.note(ctx, err)
	if err != nil {
		return kernel.ErrLogUnavailable
	}
	s.apply(b)
	return nil
}

func (s *shardLog) next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fold == nil {
		return 0
	}
	return s.fold.Next()
}

// apply folds the records of a read.
func (s *shardLog) apply(b kernel.LogBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.place(b)
	for _, r := range b.Records {
		batch, err := s.fold.Apply(claim.Record{Offset: r.Offset, Time: r.Time, Data: r.Data})
		if err != nil {
			s.owner.count("claim_records_skipped", "shard", strconv.Itoa(s.number))
			continue
		}
		s.remember(batch.ID)
	}
	if len(b.Records) > 0 {
		s.grown = time.Now()
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// place starts the fold anew if there is none, if the log dropped records that
// were not read, or if it lost some that were. The caller holds mu.
func (s *shardLog) place(b kernel.LogBatch) {
	switch {
	case s.fold == nil:
		s.restart(b.First)
	case b.First > s.fold.Next():
		s.owner.count("claim_restarts", "why", "retention")
		s.owner.host.Logger.Warn("records of claims were dropped before they were read", "stream", s.stream, "first", b.First)
		s.restart(b.First)
	case b.Next < s.fold.Next():
		s.owner.count("claim_restarts", "why", "lost")
		s.owner.host.Logger.Error("the log lost records of claims", "stream", s.stream, "next", b.Next)
		s.restart(b.First)
		s.fold.MarkIncomplete()
	}
}

// restart begins a new fold. The caller holds mu.
func (s *shardLog) restart(first uint64) {
	s.fold = claim.NewShard(s.owner.rules, first)
	s.fold.LimitAnswers(s.owner.answerMemory / len(s.owner.shards))
}

// recall fetches the answer of a finding from the log if the fold evicted it.
func (s *shardLog) recall(ctx context.Context, f claim.Finding) claim.Finding {
	if f.Verdict != claim.Taken || f.Slot.State != claim.Done || !f.Slot.Evicted {
		return f
	}
	b, err := s.read(ctx, f.Slot.Stored)
	if err != nil || len(b.Records) == 0 {
		return f
	}
	s.owner.host.Counter("claim_answers_recalled").Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := b.Records[0]
	if s.fold == nil || !s.fold.Restore(f.Slot.ID, claim.Record{Offset: r.Offset, Time: r.Time, Data: r.Data}) {
		return f
	}
	return s.fold.Find(f.Slot.ID, claim.Attempt{}, f.Slot.Origin.BodyHash)
}

// remember notes a batch that is on the log. The caller holds mu.
func (s *shardLog) remember(id claim.Attempt) {
	if _, ok := s.batches[id]; ok {
		return
	}
	s.batches[id] = struct{}{}
	s.order = append(s.order, id)
	if len(s.order) > recentBatches {
		delete(s.batches, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *shardLog) has(batch claim.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.batches[batch]
	return ok
}

// closeIdle drops the fold if no request used it for a while.
func (s *shardLog) closeIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fold != nil && len(s.queue) == 0 && now.Sub(s.used) > idleFold {
		s.fold = nil
	}
}

// unfinished returns the claims without an end.
func (s *shardLog) unfinished() []claim.Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fold == nil {
		return nil
	}
	return s.fold.Unfinished()
}

type shardDump struct {
	Shard      int    `json:"shard"`
	Owner      string `json:"owner"`
	Open       bool   `json:"open"`
	Next       uint64 `json:"next"`
	Keys       int    `json:"keys"`
	Unfinished int    `json:"unfinished"`
	Queued     int    `json:"queued"`
}

func (s *shardLog) dump() shardDump {
	owner, _ := s.owner.ownerOf(s.number)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := shardDump{Shard: s.number, Owner: owner.ID, Queued: len(s.queue)}
	if s.fold != nil {
		d.Open, d.Next, d.Keys = true, s.fold.Next(), s.fold.Len()
		d.Unfinished = len(s.fold.Unfinished())
	}
	return d
}

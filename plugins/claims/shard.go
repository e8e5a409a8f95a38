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

// recentBatches is the number of batches of a stream whose IDs are kept. They
// show whether a batch that this instance sent is on the log, if the response to
// its append was lost.
const recentBatches = 256

// shardLog is this instance's view of one stream of claims: the state after the
// records read so far, and the entries that wait to be appended.
type shardLog struct {
	module  *Log
	number  int
	stream  string
	wake    chan struct{}
	limiter *rate.Limiter

	// readToken holds one token while a read runs, so that records are applied in
	// order. It is a channel and not a mutex so that waiting respects deadlines.
	readToken    chan struct{}
	lastFullRead time.Time // start of the last read to the end of the stream; guarded by readToken

	mu          sync.Mutex
	state       *claim.Shard               // nil unless loaded; guarded by mu
	changed     chan struct{}              // closed at the next change of state; guarded by mu
	queue       []*pendingAppend           // guarded by mu
	batches     map[claim.Attempt]struct{} // IDs of the recentBatches latest batches; guarded by mu
	batchOrder  []claim.Attempt            // keys of batches, oldest first; guarded by mu
	lastUsed    time.Time                  // last lookup or append; guarded by mu
	lastApplied time.Time                  // time of the latest read with records; guarded by mu
}

func newShardLog(m *Log, number int) *shardLog {
	return &shardLog{
		module: m, number: number, stream: "claims/" + strconv.Itoa(number),
		wake: make(chan struct{}, 1), changed: make(chan struct{}), readToken: make(chan struct{}, 1),
		batches: make(map[claim.Attempt]struct{}),
		limiter: rate.NewLimiter(m.shardRate, appendBurst),
	}
}

// loaded reports whether the shard state is loaded.
func (s *shardLog) loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != nil
}

// find looks up an attempt in the shard state. It returns false if the state is
// not loaded.
func (s *shardLog) find(id claim.ID, a claim.Attempt, body claim.Hash) (claim.Finding, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = time.Now()
	if s.state == nil {
		return claim.Finding{}, false
	}
	return s.state.Find(id, a, body), true
}

// change returns a channel that is closed at the next change of the shard state.
func (s *shardLog) change() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// catchUp reads up to the current end of the stream.
func (s *shardLog) catchUp(ctx context.Context) error { return s.readTo(ctx, 0) }

// readTo reads at least up to an offset, or to the end of the stream if it is 0.
// If another read to the end began after the call and has ended, readTo does not
// read again.
func (s *shardLog) readTo(ctx context.Context, offset uint64) error {
	called := time.Now()
	if err := s.acquireRead(ctx); err != nil {
		return err
	}
	defer s.releaseRead()
	if offset == 0 && s.lastFullRead.After(called) {
		return nil
	}
	began := time.Now()
	if err := s.readAll(ctx, offset); err != nil {
		return err
	}
	if offset == 0 {
		s.lastFullRead = began
	}
	return nil
}

// acquireRead acquires readToken. It returns an error if the context ends first.
func (s *shardLog) acquireRead(ctx context.Context) error {
	select {
	case s.readToken <- struct{}{}:
		return nil
	case <-ctx.Done():
		return kernel.ErrLogUnavailable
	}
}

func (s *shardLog) releaseRead() { <-s.readToken }

// readAll reads batches of records until it reaches the offset, or the end of the
// stream if it is 0. The caller holds readToken.
func (s *shardLog) readAll(ctx context.Context, offset uint64) error {
	if !s.loaded() {
		if err := s.load(ctx); err != nil {
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

// readNext waits for the next records of the stream and applies them.
func (s *shardLog) readNext(ctx context.Context) error {
	if err := s.acquireRead(ctx); err != nil {
		return err
	}
	defer s.releaseRead()
	b, err := s.module.host.Log.Read(ctx, s.stream, max(1, s.next()), readBackTimeout)
	s.module.recordResult(ctx, err)
	if err != nil {
		return kernel.ErrLogUnavailable
	}
	s.apply(b)
	return nil
}

// era returns the era of the log for which the state was built.
func (s *shardLog) era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return 0
	}
	return s.state.Era()
}

func (s *shardLog) next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return 0
	}
	return s.state.Next()
}

// apply applies a batch of records to the shard state.
func (s *shardLog) apply(b kernel.LogBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetOnGap(b)
	for _, r := range b.Records {
		batch, err := s.state.Apply(claim.Record{Offset: r.Offset, Time: r.Time, Data: r.Data})
		if err != nil {
			s.module.count("claim_records_skipped", "shard", strconv.Itoa(s.number))
			continue
		}
		s.recordBatch(batch.ID)
	}
	if len(b.Records) > 0 {
		s.lastApplied = time.Now()
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// resetOnGap starts a new shard state if there is none, if the log dropped records
// before they were read, or if the log may have lost records that had been read. The
// caller holds mu.
func (s *shardLog) resetOnGap(b kernel.LogBatch) {
	switch {
	case s.state == nil:
		s.reset(b.First, b.Era)
	case b.Era != s.state.Era():
		s.module.count("claim_restarts", "why", "restored")
		s.module.host.Logger.Error("the log was restored from an older copy; rebuilding the shard state", "stream", s.stream, "era", b.Era, "era_before", s.state.Era())
		s.forget(b)
	case b.First > s.state.Next():
		s.module.count("claim_restarts", "why", "retention")
		s.module.host.Logger.Warn("claim records were dropped by log retention before they were read; rebuilding the shard state", "stream", s.stream, "first", b.First)
		s.reset(b.First, b.Era)
	case b.Next < s.state.Next():
		s.module.count("claim_restarts", "why", "lost")
		s.module.host.Logger.Error("the log lost claim records that had been read; rebuilding the shard state", "stream", s.stream, "next", b.Next)
		s.forget(b)
		s.state.MarkLost(b.Next)
	}
}

// forget starts a new shard state, as the records that were read may be lost. The caller
// holds mu.
func (s *shardLog) forget(b kernel.LogBatch) {
	s.reset(b.First, b.Era)
	clear(s.batches)
	s.batchOrder = nil
}

// reset starts a new shard state. The caller holds mu.
func (s *shardLog) reset(first, era uint64) {
	s.state = claim.NewShard(s.module.rules, first, era)
	s.state.LimitAnswerBytes(s.module.answerMemory / len(s.module.shards))
}

// fetchEvicted reads the answer of a finding from the log if it was evicted from
// memory.
func (s *shardLog) fetchEvicted(ctx context.Context, f claim.Finding) claim.Finding {
	if f.Verdict != claim.Taken || f.Slot.State != claim.Done || !f.Slot.Evicted {
		return f
	}
	b, err := s.read(ctx, f.Slot.AnswerOffset)
	if err != nil || len(b.Records) == 0 {
		return f
	}
	s.module.host.Counter("claim_answers_recalled").Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := b.Records[0]
	if s.state == nil || !s.state.RestoreAnswer(f.Slot.ID, claim.Record{Offset: r.Offset, Time: r.Time, Data: r.Data}) {
		return f
	}
	return s.state.Find(f.Slot.ID, claim.Attempt{}, f.Slot.Origin.BodyHash)
}

// recordBatch records the ID of a batch that is on the log. The caller holds mu.
func (s *shardLog) recordBatch(id claim.Attempt) {
	if _, ok := s.batches[id]; ok {
		return
	}
	s.batches[id] = struct{}{}
	s.batchOrder = append(s.batchOrder, id)
	if len(s.batchOrder) > recentBatches {
		delete(s.batches, s.batchOrder[0])
		s.batchOrder = s.batchOrder[1:]
	}
}

func (s *shardLog) hasBatch(batch claim.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.batches[batch]
	return ok
}

// unloadIdle drops the shard state if it has not been used for idleShardTTL.
func (s *shardLog) unloadIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != nil && len(s.queue) == 0 && now.Sub(s.lastUsed) > idleShardTTL {
		s.state = nil
	}
}

// unfinished returns the unfinished claims of the shard.
func (s *shardLog) unfinished() []claim.Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return nil
	}
	return s.state.Unfinished()
}

type shardDump struct {
	Shard      int    `json:"shard"`
	Owner      string `json:"owner"`
	Loaded     bool   `json:"open"`
	Next       uint64 `json:"next"`
	Keys       int    `json:"keys"`
	Unfinished int    `json:"unfinished"`
	Queued     int    `json:"queued"`
}

func (s *shardLog) dump() shardDump {
	owner, _ := s.module.ownerOf(s.number)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := shardDump{Shard: s.number, Owner: owner.ID, Queued: len(s.queue)}
	if s.state != nil {
		d.Loaded, d.Next, d.Keys = true, s.state.Next(), s.state.Len()
		d.Unfinished = len(s.state.Unfinished())
	}
	return d
}

package claims

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// Times of upkeep.
const (
	upkeepInterval = 5 * time.Second
	upkeepTimeout  = 20 * time.Second
	// idleFold is the time after which an unused shard of another owner is
	// forgotten.
	idleFold = 2 * time.Minute
	// markParts is how often within the window and the time of restating a quiet
	// stream gets a mark, so that its time goes on and a reader finds a start
	// that is older than the window.
	markParts = 2
)

// upkeep restates unfinished claims and marks quiet streams, for the shards
// that this instance owns, until the context ends.
func (m *Log) upkeep(ctx context.Context) {
	for backoff.Sleep(ctx, backoff.Jitter(min(upkeepInterval, m.markInterval()))) {
		for _, s := range m.shards {
			if _, own := m.ownerOf(s.number); own {
				m.tend(ctx, s)
			} else {
				s.closeIdle(time.Now())
			}
		}
	}
}

// markInterval is the longest time without a record in a stream.
func (m *Log) markInterval() time.Duration {
	return min(m.rules.Window, m.restate) / markParts
}

// tend does the upkeep of one shard.
func (m *Log) tend(ctx context.Context, s *shardLog) {
	if !m.circuit.allow(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	if s.catchUp(ctx) != nil {
		return
	}
	carried, quiet := s.due(time.Now())
	for len(carried) > 0 {
		n := min(len(carried), claim.MaxEntries, maxBatchBytes/entryOverhead)
		if s.submit(ctx, carried[:n]...) != nil {
			return
		}
		m.host.Counter("claims_restated").Inc(int64(n))
		carried = carried[n:]
		quiet = false
	}
	if quiet {
		_ = s.submit(ctx)
	}
}

// due returns the entries to restate, and whether the stream needs a mark. A
// stream that never had a record needs none.
func (s *shardLog) due(now time.Time) ([]claim.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fold == nil || s.fold.Next() <= 1 {
		return nil, false
	}
	quiet := s.grown.IsZero() || now.Sub(s.grown) > s.owner.markInterval()
	return s.fold.Carry(s.owner.restate), quiet
}

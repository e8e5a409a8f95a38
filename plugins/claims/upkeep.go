package claims

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// Times of upkeep.
const (
	maintenanceInterval = 5 * time.Second
	maintenanceTimeout  = 20 * time.Second
	// idleShardTTL is the time after which an unused shard of another owner is
	// forgotten.
	idleShardTTL = 2 * time.Minute
	// heartbeatsPerInterval is how often within the window and the time of restating a quiet
	// stream gets a mark, so that its time goes on and a reader finds a start
	// that is older than the window.
	heartbeatsPerInterval = 2
)

// maintain restates unfinished claims and marks quiet streams, for the shards
// that this instance owns, until the context ends.
func (m *Log) maintain(ctx context.Context) {
	for backoff.Sleep(ctx, backoff.Jitter(min(maintenanceInterval, m.heartbeatInterval()))) {
		for _, s := range m.shards {
			if _, own := m.ownerOf(s.number); own {
				m.maintainShard(ctx, s)
			} else {
				s.unloadIdle(time.Now())
			}
		}
	}
}

// heartbeatInterval is the longest time without a record in a stream.
func (m *Log) heartbeatInterval() time.Duration {
	return min(m.rules.Window, m.restate) / heartbeatsPerInterval
}

// maintainShard does the upkeep of one shard.
func (m *Log) maintainShard(ctx context.Context, s *shardLog) {
	if !m.circuit.allow(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	if s.catchUp(ctx) != nil {
		return
	}
	carried, quiet := s.maintenanceDue(time.Now())
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

// maintenanceDue returns the entries to restate, and whether the stream needs a mark. A
// stream that never had a record needs none.
func (s *shardLog) maintenanceDue(now time.Time) ([]claim.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || s.state.Next() <= 1 {
		return nil, false
	}
	quiet := s.lastApplied.IsZero() || now.Sub(s.lastApplied) > s.module.heartbeatInterval()
	return s.state.RestatementsDue(s.module.restate), quiet
}

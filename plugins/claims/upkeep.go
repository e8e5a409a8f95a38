package claims

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// Times of maintenance.
const (
	maintenanceInterval = 5 * time.Second
	maintenanceTimeout  = 20 * time.Second
	// idleShardTTL is the time after which an unused shard of another owner is
	// unloaded.
	idleShardTTL = 2 * time.Minute
	// heartbeatsPerInterval is the number of heartbeat records that an idle stream
	// gets within the window or the restatement interval, whichever is shorter.
	// Heartbeat records advance the time of the stream, and let a reader start at a
	// record that is older than the window.
	heartbeatsPerInterval = 2
)

// maintain restates unfinished claims and appends heartbeat records to idle
// streams, for the shards that this instance owns, until the context ends.
func (m *Log) maintain(ctx context.Context) {
	for backoff.Sleep(ctx, backoff.Jitter(min(maintenanceInterval, m.heartbeatInterval()))) {
		for _, s := range m.shards {
			if _, self := m.ownerOf(s.number); self {
				m.maintainShard(ctx, s)
			} else {
				s.unloadIdle(time.Now())
			}
		}
	}
}

// heartbeatInterval is the time without a record after which a stream gets a
// heartbeat record.
func (m *Log) heartbeatInterval() time.Duration {
	return min(m.rules.Window, m.restate) / heartbeatsPerInterval
}

// maintainShard reads a shard up to its end and appends the restatements that are
// due, or a heartbeat record if the stream is idle.
func (m *Log) maintainShard(ctx context.Context, s *shardLog) {
	if !m.circuit.allow(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	if s.catchUp(ctx) != nil {
		return
	}
	restatements, idle := s.maintenanceDue(time.Now())
	for len(restatements) > 0 {
		n := min(len(restatements), claim.MaxEntries, maxBatchBytes/entryOverhead)
		if s.submit(ctx, restatements[:n]...) != nil {
			return
		}
		m.host.Counter("claims_restated").Inc(int64(n))
		restatements = restatements[n:]
		idle = false
	}
	if idle {
		_ = s.submit(ctx)
	}
}

// maintenanceDue returns the claims to restate, and whether the stream needs a
// heartbeat record. A stream that never had a record needs none.
func (s *shardLog) maintenanceDue(now time.Time) ([]claim.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || s.state.Next() <= 1 {
		return nil, false
	}
	idle := s.lastApplied.IsZero() || now.Sub(s.lastApplied) > s.module.heartbeatInterval()
	return s.state.RestatementsDue(s.module.restate), idle
}

package claims

import (
	"context"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// Times of the retries of an append.
const (
	minAppendBackoff = 100 * time.Millisecond
	maxAppendBackoff = 5 * time.Second
	appendTimeout    = 5 * time.Second
)

// appendUntilConfirmed appends an entry in the background. It retries until the
// entry is on the log, and then calls confirmed, or until the module stops, in
// which case the entry is lost. The caller must have called begin.
func (m *Log) appendUntilConfirmed(shard int, e claim.Entry, confirmed func()) {
	m.inFlight.Add(1)
	m.host.Gauge("claim_entries_landing").Update(m.unconfirmed.Add(1))
	go func() {
		defer m.inFlight.Done()
		defer func() { m.host.Gauge("claim_entries_landing").Update(m.unconfirmed.Add(-1)) }()
		retry := backoff.Backoff{Min: minAppendBackoff, Max: maxAppendBackoff}
		for !m.appendOnce(shard, e) {
			if !retry.Wait(m.ctx) {
				m.host.Counter("claim_entries_lost").Inc(1)
				return
			}
		}
		confirmed()
	}()
}

func (m *Log) appendOnce(shard int, e claim.Entry) bool {
	ctx, cancel := context.WithTimeout(m.ctx, appendTimeout)
	defer cancel()
	_, _, err := m.appendEntries(ctx, shard, e)
	return err == nil
}

// abandoned counts, for each key, the abandoned attempts whose release is not on
// the log yet.
type abandoned struct {
	mu   sync.Mutex
	keys map[claim.ID]int // guarded by mu
}

func (a *abandoned) add(id claim.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keys == nil {
		a.keys = make(map[claim.ID]int)
	}
	a.keys[id]++
}

func (a *abandoned) remove(id claim.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keys[id]--; a.keys[id] <= 0 {
		delete(a.keys, id)
	}
}

func (a *abandoned) has(id claim.ID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keys[id] > 0
}

func (a *abandoned) len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.keys)
}

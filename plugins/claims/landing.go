package claims

import (
	"context"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// Times of entries that have to reach the log.
const (
	minAppendBackoff = 100 * time.Millisecond
	maxAppendBackoff = 5 * time.Second
	appendTimeout    = 5 * time.Second
)

// appendUntilConfirmed appends an entry, again and again until the log has it or the module
// stops. The caller has entered the module.
func (m *Log) appendUntilConfirmed(shard int, e claim.Entry, landed func()) {
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
		landed()
	}()
}

func (m *Log) appendOnce(shard int, e claim.Entry) bool {
	ctx, cancel := context.WithTimeout(m.ctx, appendTimeout)
	defer cancel()
	_, _, err := m.appendEntries(ctx, shard, e)
	return err == nil
}

// abandoned counts the claims of each key that were given up and whose release
// is not on the log yet.
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

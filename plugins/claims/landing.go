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
	minLandPause = 100 * time.Millisecond
	maxLandPause = 5 * time.Second
	landTimeout  = 5 * time.Second
)

// land appends an entry, again and again until the log has it or the module
// stops. The caller has entered the module.
func (m *Log) land(shard int, e claim.Entry, landed func()) {
	m.landing.Add(1)
	m.host.Gauge("claim_entries_landing").Update(m.onWay.Add(1))
	go func() {
		defer m.landing.Done()
		defer func() { m.host.Gauge("claim_entries_landing").Update(m.onWay.Add(-1)) }()
		retry := backoff.Backoff{Min: minLandPause, Max: maxLandPause}
		for !m.landOnce(shard, e) {
			if !retry.Wait(m.life) {
				m.host.Counter("claim_entries_lost").Inc(1)
				return
			}
		}
		landed()
	}()
}

func (m *Log) landOnce(shard int, e claim.Entry) bool {
	ctx, cancel := context.WithTimeout(m.life, landTimeout)
	defer cancel()
	_, _, err := m.send(ctx, shard, e)
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

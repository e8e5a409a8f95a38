package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds of the prefix cache.
const (
	maxPrefixes    = 100_000
	maxCacheEvents = 10_000
)

// CacheOp says what happened to a prefix.
type CacheOp string

// The operations of cache events.
const (
	CacheStored  CacheOp = "stored"
	CacheEvicted CacheOp = "evicted"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq    uint64  `json:"seq"`
	Op     CacheOp `json:"op"`
	Prefix string  `json:"prefix"`
	at     time.Time
}

// CacheEvents is the answer to a read of cache events.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// prefixCache remembers prefixes in limited memory and evicts the least recently used one.
type prefixCache struct {
	limit int
	lag   time.Duration
	loss  float64

	mu     sync.Mutex
	held   *simplelru.LRU[string, int] // tokens by prefix; guarded by mu
	used   int                         // guarded by mu
	seq    uint64                      // guarded by mu
	events []CacheEvent                // guarded by mu
	hits   int                         // guarded by mu
}

func (c *prefixCache) init(limit int, lag time.Duration, loss float64) {
	c.limit, c.lag, c.loss = limit, lag, loss
	c.held, _ = simplelru.NewLRU[string, int](maxPrefixes, nil)
}

// use looks a prefix up, stores it if it is new, and returns the number of
// tokens that need not be read.
func (c *prefixCache) use(prefix string, tokens int) int {
	if prefix == "" || tokens <= 0 || tokens > c.limit {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, ok := c.held.Get(prefix); ok {
		c.hits++
		return min(n, tokens)
	}
	for c.used+tokens > c.limit {
		old, n, _ := c.held.RemoveOldest()
		c.used -= n
		c.note(CacheEvicted, old)
	}
	c.held.Add(prefix, tokens)
	c.used += tokens
	c.note(CacheStored, prefix)
	return 0
}

// note records an event. The caller holds mu.
func (c *prefixCache) note(op CacheOp, prefix string) {
	c.seq++
	if draw(c.loss) {
		return
	}
	hash := fmt.Sprintf("%016x", xxhash.Sum64String(prefix))
	c.events = append(c.events, CacheEvent{Seq: c.seq, Op: op, Prefix: hash, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

func (c *prefixCache) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := CacheEvents{Next: max(from, 1), Events: []CacheEvent{}}
	visible := time.Now().Add(-c.lag)
	for _, e := range c.events {
		if e.at.After(visible) {
			break
		}
		if e.Seq >= from {
			answer.Events = append(answer.Events, e)
			answer.Next = e.Seq + 1
		}
	}
	writeJSON(w, answer)
}

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

// Limits of the prefix cache.
const (
	maxPrefixes    = 100_000
	maxCacheEvents = 10_000
)

// CacheOp is the kind of a CacheEvent.
type CacheOp string

// Kinds of cache events.
const (
	CacheStored  CacheOp = "stored"
	CacheEvicted CacheOp = "evicted"
)

// CacheEvent is one change of the prefix cache of an engine. Prefix is the
// hexadecimal xxHash64 of the prefix.
type CacheEvent struct {
	Seq    uint64  `json:"seq"`
	Op     CacheOp `json:"op"`
	Prefix string  `json:"prefix"`
	at     time.Time
}

// CacheEvents is the response to a read of cache events. Next is the sequence number
// to continue from.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// prefixCache is an LRU cache of prompt prefixes with a limited number of tokens.
type prefixCache struct {
	limit int
	lag   time.Duration
	loss  float64

	mu      sync.Mutex
	entries *simplelru.LRU[string, int] // tokens by prefix; guarded by mu
	used    int                         // guarded by mu
	seq     uint64                      // guarded by mu
	events  []CacheEvent                // guarded by mu
	hits    int                         // guarded by mu
}

func (c *prefixCache) init(limit int, lag time.Duration, loss float64) {
	c.limit, c.lag, c.loss = limit, lag, loss
	c.entries, _ = simplelru.NewLRU[string, int](maxPrefixes, nil)
}

// lookupOrStore returns the number of prompt tokens that are cached. It stores a
// prefix that is not cached, and evicts others if needed.
func (c *prefixCache) lookupOrStore(prefix string, tokens int) int {
	if prefix == "" || tokens <= 0 || tokens > c.limit {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, ok := c.entries.Get(prefix); ok {
		c.hits++
		return min(n, tokens)
	}
	for c.used+tokens > c.limit {
		old, n, _ := c.entries.RemoveOldest()
		c.used -= n
		c.recordEvent(CacheEvicted, old)
	}
	c.entries.Add(prefix, tokens)
	c.used += tokens
	c.recordEvent(CacheStored, prefix)
	return 0
}

// recordEvent appends an event, or loses it with the probability loss. The caller
// holds mu.
func (c *prefixCache) recordEvent(op CacheOp, prefix string) {
	c.seq++
	if chance(c.loss) {
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
	response := CacheEvents{Next: max(from, 1), Events: []CacheEvent{}}
	visible := time.Now().Add(-c.lag)
	for _, e := range c.events {
		if e.at.After(visible) {
			break
		}
		if e.Seq >= from {
			response.Events = append(response.Events, e)
			response.Next = e.Seq + 1
		}
	}
	writeJSON(w, response)
}

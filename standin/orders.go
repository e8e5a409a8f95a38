package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Order is a command that sets the version and the role of an engine. Fence is its
// fencing token.
type Order struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Loading bool   `json:"loading"`
}

// currentOrder holds the order that the engine accepted last.
type currentOrder struct {
	mu    sync.Mutex
	state Order // guarded by mu
}

func (o *currentOrder) get() Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// accept makes an order the current one. It reports whether the order was
// accepted, and whether another version must be loaded. If fenced is set, an order
// with an older fencing token is rejected.
func (o *currentOrder) accept(order Order, fenced bool) (accepted, load bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fenced && order.Fence < o.state.Fence {
		return false, false
	}
	load = order.Version != "" && order.Version != o.state.Version
	if order.Version == "" {
		order.Version = o.state.Version
	}
	order.Loading = load || o.state.Loading
	o.state = order
	return true, load
}

// finishLoading marks a version as loaded. It returns false if a later order
// requested another version.
func (o *currentOrder) finishLoading(version string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state.Version != version {
		return false
	}
	o.state.Loading = false
	return true
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	accepted, load := e.order.accept(order, e.Fenced)
	if !accepted {
		http.Error(w, "the order is older than the one in force", http.StatusConflict)
		return
	}
	if load {
		go e.loadVersion(order.Version)
	}
	writeJSON(w, e.order.get())
}

// loadVersion fetches the weights of a version and then restarts as that version,
// unless a later order requested another one.
func (e *Engine) loadVersion(version string) {
	if e.Weights == "" {
		time.Sleep(e.LoadTime)
	} else if resp, err := http.Get(e.Weights + "/v1/weights/" + version); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if e.order.finishLoading(version) {
		e.restartAs(version)
	}
}

// restartAs restarts the server cold with another version.
func (b *Backend) restartAs(version string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boot = uuid.NewString()
	b.version = version
	b.served = 0
	b.stats.Concurrent = 0
	b.running = 0
	b.state.start(time.Now(), true)
}

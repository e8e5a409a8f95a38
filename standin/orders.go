package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Order tells an engine which version and role it should have.
type Order struct {
	Fence   uint64 `json:"fence"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Loading bool   `json:"loading"`
}

// orderBook holds the order in force.
type orderBook struct {
	mu    sync.Mutex
	state Order // guarded by mu
}

func (o *orderBook) get() Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// take puts an order in force. It reports whether the engine accepts it, and
// whether another version is to be loaded.
func (o *orderBook) take(order Order, fenced bool) (accepted, load bool) {
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

// loaded ends the loading of a version, unless another order came since.
func (o *orderBook) loaded(version string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state.Version != version {
		return false
	}
	o.state.Loading = false
	return true
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	accepted, load := e.orders.take(order, e.Fenced)
	if !accepted {
		http.Error(w, "the order is older than the one in force", http.StatusConflict)
		return
	}
	if load {
		go e.load(order.Version)
	}
	writeJSON(w, e.orders.get())
}

// load fetches a version's weights; the engine is cold afterwards.
func (e *Engine) load(version string) {
	if e.Weights == "" {
		time.Sleep(e.LoadTime)
	} else if resp, err := http.Get(e.Weights + "/v1/weights/" + version); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if e.orders.loaded(version) {
		e.restartAs(version)
	}
}

// restartAs begins to serve another version, cold.
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

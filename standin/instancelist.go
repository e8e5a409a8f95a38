package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// ListedInstance is an instance in the platform's list.
type ListedInstance struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	State string `json:"state"` // "live" or "leaving"
	// GossipAddress and PeerAddress are the addresses for other instances.
	GossipAddress string `json:"gossip_address"`
	PeerAddress   string `json:"peer_address"`
	visibleAt     time.Time
}

// InstanceListFaults are the injected faults of the list of instances. Down rejects
// every call with status 503.
type InstanceListFaults struct {
	Down bool `json:"down"`
}

// InstanceList simulates the platform's list of instances. Changes become visible
// after Lag.
type InstanceList struct {
	faultInjector[InstanceListFaults]
	Lag time.Duration

	mu      sync.Mutex
	visible map[string]ListedInstance // guarded by mu
	pending []ListedInstance          // not visible yet, in order of arrival; guarded by mu
}

// Handler returns the HTTP handler of the list.
func (l *InstanceList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", l.serveList)
	mux.HandleFunc("PUT /v1/instances/{id}", l.servePut)
	l.register(mux)
	return mux
}

func (l *InstanceList) serveList(w http.ResponseWriter, _ *http.Request) {
	if l.Get().Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, l.Instances())
}

func (l *InstanceList) servePut(w http.ResponseWriter, r *http.Request) {
	var i ListedInstance
	if l.Get().Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.ID = r.PathValue("id")
	l.Put(i)
	writeJSON(w, i)
}

// Put adds or replaces an instance.
func (l *InstanceList) Put(i ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i.visibleAt = time.Now().Add(l.Lag)
	l.pending = append(l.pending, i)
}

// Instances returns the visible instances, sorted by ID.
func (l *InstanceList) Instances() []ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.visible == nil {
		l.visible = make(map[string]ListedInstance)
	}
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.visible[l.pending[0].ID] = l.pending[0]
		l.pending = l.pending[1:]
	}
	out := slices.AppendSeq([]ListedInstance{}, maps.Values(l.visible))
	slices.SortFunc(out, func(a, b ListedInstance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

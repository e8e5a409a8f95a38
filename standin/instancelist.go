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

// ListedInstance is one instance on the platform's list.
type ListedInstance struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	State string `json:"state"` // "live" or "leaving"
	// GossipAddress and PeerAddress are where other instances reach it.
	GossipAddress string `json:"gossip_address"`
	PeerAddress   string `json:"peer_address"`
	visible       time.Time
}

// InstanceListFaults are the faults of the list.
type InstanceListFaults struct {
	Down bool `json:"down"`
}

// InstanceList is the platform's list of instances. Changes show after a lag.
type InstanceList struct {
	switchboard[InstanceListFaults]
	Lag time.Duration

	mu      sync.Mutex
	shown   map[string]ListedInstance // guarded by mu
	changes []ListedInstance          // not shown yet, in order; guarded by mu
}

// Handler returns the list's HTTP interface.
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

// Put registers or changes an instance.
func (l *InstanceList) Put(i ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i.visible = time.Now().Add(l.Lag)
	l.changes = append(l.changes, i)
}

// Instances returns what the list shows now, by ID.
func (l *InstanceList) Instances() []ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.shown == nil {
		l.shown = make(map[string]ListedInstance)
	}
	for len(l.changes) > 0 && !l.changes[0].visible.After(now) {
		l.shown[l.changes[0].ID] = l.changes[0]
		l.changes = l.changes[1:]
	}
	out := slices.AppendSeq([]ListedInstance{}, maps.Values(l.shown))
	slices.SortFunc(out, func(a, b ListedInstance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of the protocol between savoryfold and backend servers.
const (
	headerCallID   = "Savoryfold-Call-Id"
	headerEngineMS = "Savoryfold-Engine-Ms"
	headerTokens   = "Savoryfold-Tokens"
	headerKey      = "Idempotency-Key"
)

// Service is a plain service, such as an encoder or a rebate ledger. It
// counts the executions of each idempotency key.
type Service struct {
	Name string
	// Work is the time of one call.
	Work time.Duration

	mu         sync.Mutex
	executions map[string]int // by idempotency key; guarded by mu
	calls      int            // guarded by mu
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.call)
	mux.HandleFunc("GET /executions", s.serveExecutions)
	return mux
}

// call runs one stage call. The answer names the service and repeats the
// request's own "n", so that a test can tell answers apart.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	var input struct {
		Request json.RawMessage `json:"request"`
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &input)
	}
	w.Header().Set(headerCallID, r.Header.Get(headerCallID))
	if err != nil {
		http.Error(w, "no JSON", http.StatusBadRequest)
		return
	}
	s.execute(r.Header.Get(headerKey))
	time.Sleep(s.Work)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerEngineMS, fmt.Sprintf("%.3f", float64(time.Since(start))/float64(time.Millisecond)))
	w.Header().Set(headerTokens, strconv.Itoa(len(input.Request)/4))
	_ = json.NewEncoder(w).Encode(map[string]any{"by": s.Name, "echo": input.Request})
}

func (s *Service) execute(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if key == "" {
		return
	}
	if s.executions == nil {
		s.executions = make(map[string]int)
	}
	s.executions[key]++
}

// Executions returns how often each idempotency key ran.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executions))
	for k, n := range s.executions {
		out[k] = n
	}
	return out
}

func (s *Service) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Executions())
}

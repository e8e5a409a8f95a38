package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/internal/httpapi"
)

// defaultServiceCapacity is the number of concurrent calls of a service.
const defaultServiceCapacity = 64

// Service simulates a plain service, such as an encoder or a rebate ledger. It
// counts the executions of each idempotency key.
type Service struct {
	Backend
	// Work is the duration of one call.
	Work time.Duration

	once  sync.Once
	slots chan struct{}
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	s.once.Do(func() {
		if s.Capacity == 0 {
			s.Capacity = defaultServiceCapacity
		}
		s.slots = make(chan struct{}, s.Capacity)
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Executions()) })
	return s.handler(mux, s.run)
}

// run executes one stage call. The response contains the name of the service and
// the caller's request, so that a test can tell responses apart.
func (s *Service) run(w http.ResponseWriter, r *http.Request, c *activeCall) bool {
	if !s.simulateWork(r, c) {
		panic(http.ErrAbortHandler)
	}
	if c.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return false
	}
	body, _ := json.Marshal(map[string]any{"by": s.Name, "echo": c.input.Request})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(httpapi.HeaderEngineMS, strconv.FormatFloat(milliseconds(time.Since(c.start)), 'f', 3, 64))
	h.Set(httpapi.HeaderTokens, strconv.Itoa(len(c.input.Request)/4))
	s.setLoadHeader(h)
	return c.sendBody(w, body)
}

// simulateWork waits for a free slot and then for the duration of the call. It
// reports whether the call completed: it returns false if the caller disconnected
// or the server restarted.
func (s *Service) simulateWork(r *http.Request, c *activeCall) bool {
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-s.slots }()
	s.addRunning(c, 1)
	defer s.addRunning(c, -1)
	work := s.Work
	if ms := c.input.work.WorkMS; ms > 0 {
		work = time.Duration(ms * float64(time.Millisecond))
	}
	timer := time.NewTimer(time.Duration(float64(work) * s.slowness(c)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return !s.restartedSince(c)
	case <-r.Context().Done():
		return false
	}
}

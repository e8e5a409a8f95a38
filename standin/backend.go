package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	maxCallBytes = 8 << 20
	maxCallLog   = 200_000
)

// Backend is what a model engine and a plain service share: the state of a
// server that starts cold, its faults, counters and its log of calls. The
// exported fields are set before it serves.
type Backend struct {
	switchboard[Faults]
	Name    string
	Version string
	// Capacity is the number of calls that run at once; others wait.
	Capacity int
	Warmth   Warmth
	// ReportLag is the greatest age of the load report at GET /v1/load.
	ReportLag time.Duration

	connections connections

	mu      sync.Mutex
	state   warmState         // guarded by mu
	boot    string            // guarded by mu
	version string            // guarded by mu
	stats   Stats             // guarded by mu
	calls   []CallRecord      // guarded by mu
	report  policy.LoadReport // guarded by mu
	served  int               // by this version; guarded by mu
	running int               // calls being worked on; guarded by mu
}

// Stats are the counters of a backend server.
type Stats struct {
	Calls      int `json:"calls"`
	Concurrent int `json:"concurrent"`
	// MaxConcurrent is the most calls at once, MaxCold that while cold.
	MaxConcurrent int `json:"max_concurrent"`
	MaxCold       int `json:"max_cold"`
	// Overfed counts the calls beyond what the cold server bears.
	Overfed   int     `json:"overfed"`
	Cancelled int     `json:"cancelled"`
	Restarts  int     `json:"restarts"`
	Refused   int     `json:"refused"`
	Resumed   int     `json:"resumed"`
	WorkMS    float64 `json:"work_ms"`
	// Tokens counts the tokens that an engine generated.
	Tokens int     `json:"tokens"`
	Warm   float64 `json:"warm"`
}

// CallRecord is one call as the server saw it.
type CallRecord struct {
	Call    string    `json:"call"`
	Key     string    `json:"key,omitempty"`
	Version string    `json:"version,omitempty"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end,omitzero"`
	OK      bool      `json:"ok"`
	// Bad is true if the call met the fault of a version.
	Bad bool `json:"bad,omitempty"`
}

// callInput is the body of a stage call.
type callInput struct {
	Request json.RawMessage `json:"request"`
	work    Work
}

// Work is the part of a caller's request that tells a backend server what to
// do; other fields are ignored.
type Work struct {
	// Tokens and PromptTokens replace the engine's own numbers.
	Tokens       int `json:"tokens"`
	PromptTokens int `json:"prompt_tokens"`
	// Prefix names the shared beginning of the prompt, of PrefixTokens tokens.
	Prefix       string `json:"prefix"`
	PrefixTokens int    `json:"prefix_tokens"`
	// WorkMS replaces the time of a plain service.
	WorkMS float64 `json:"work_ms"`
	// Route is the route that the caller used, for faults of one route.
	Route string `json:"route"`
}

// activeCall is one call in progress.
type activeCall struct {
	verdict
	input   callInput
	version string
	boot    string
	start   time.Time
	record  int // index in the log of calls
}

// prepare sets the state up at the first use. The caller holds mu.
func (b *Backend) prepare(now time.Time) {
	if b.boot != "" {
		return
	}
	b.boot = uuid.NewString()
	b.version = b.Version
	b.state.start(now, b.Warmth.Cold)
}

// handler builds the HTTP interface around the function that runs a call.
func (b *Backend) handler(mux *http.ServeMux, run func(http.ResponseWriter, *http.Request, *activeCall) bool) http.Handler {
	b.changed = b.apply
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, run) })
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.laggingReport()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Stats()) })
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Calls()) })
	b.register(mux)
	return &backendHandler{mux, b}
}

// backendHandler is a handler that tracks its connections.
type backendHandler struct {
	http.Handler
	backend *Backend
}

func (h *backendHandler) wrap(l net.Listener) net.Listener { return h.backend.connections.wrap(l) }

// apply carries out the faults that take effect at the moment they are set.
func (b *Backend) apply(f Faults) {
	if f.Silent {
		b.connections.silence()
	}
	if f.TurnCold {
		b.mu.Lock()
		b.prepare(time.Now())
		b.state.turnCold(time.Now())
		b.mu.Unlock()
	}
	if f.Crash {
		b.crash(f.down())
	}
}

// crash ends all connections and restarts the server cold.
func (b *Backend) crash(down time.Duration) {
	b.mu.Lock()
	b.boot = uuid.NewString()
	b.state.start(time.Now().Add(down), true)
	b.stats.Restarts++
	b.stats.Concurrent = 0
	b.running = 0
	b.mu.Unlock()
	b.connections.drop(down)
}

// serve takes one call, runs it and records it.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request, run func(http.ResponseWriter, *http.Request, *activeCall) bool) {
	w.Header().Set(httpapi.HeaderCallID, r.Header.Get(httpapi.HeaderCallID))
	input, err := readInput(w, r)
	if err != nil {
		w.Header().Set(httpapi.HeaderNotRun, "true")
		http.Error(w, "no JSON", http.StatusBadRequest)
		return
	}
	f := b.Get()
	if f.CrashOn != "" && bytes.Contains(input.Request, []byte(f.CrashOn)) {
		b.begin(r, input, f)
		b.crash(f.down())
		panic(http.ErrAbortHandler)
	}
	if draw(f.Refuse) {
		b.refuse(w, "refused")
		return
	}
	call, overfed := b.begin(r, input, f)
	if overfed {
		b.crash(f.down())
		panic(http.ErrAbortHandler)
	}
	if call.wrongID {
		w.Header().Set(httpapi.HeaderCallID, uuid.NewString())
	}
	ok := false
	defer func() { b.end(call, ok, r.Context().Err() != nil) }()
	ok = run(w, r, call)
}

func readInput(w http.ResponseWriter, r *http.Request) (callInput, error) {
	var input callInput
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		return input, err
	}
	if err := json.Unmarshal(body, &input); err != nil {
		return input, err
	}
	_ = json.Unmarshal(input.Request, &input.work)
	return input, nil
}

// refuse answers that the call did not run and that another server may take it.
func (b *Backend) refuse(w http.ResponseWriter, why string) {
	b.mu.Lock()
	b.stats.Refused++
	b.mu.Unlock()
	w.Header().Set(httpapi.HeaderNotRun, "true")
	http.Error(w, why, http.StatusServiceUnavailable)
}

// begin records the start of a call. It reports whether the call is more than a
// cold server bears.
func (b *Backend) begin(r *http.Request, input callInput, f Faults) (*activeCall, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.prepare(now)
	s := &b.stats
	s.Calls++
	s.Concurrent++
	s.MaxConcurrent = max(s.MaxConcurrent, s.Concurrent)
	overfed := b.overfed(now)
	c := &activeCall{
		verdict: f.judge(b.version, b.served, s.Concurrent, input.work.Route),
		input:   input, version: b.version, boot: b.boot, start: now, record: len(b.calls),
	}
	b.served++
	if len(b.calls) < maxCallLog {
		b.calls = append(b.calls, CallRecord{
			Call: r.Header.Get(httpapi.HeaderCallID), Key: r.Header.Get(httpapi.HeaderIdempotencyKey),
			Version: b.version, Start: now, Bad: c.bad,
		})
	}
	return c, overfed
}

// overfed records the calls on a cold server. The caller holds mu.
func (b *Backend) overfed(now time.Time) bool {
	if b.Warmth.ColdLimit == 0 || b.state.warm(now, b.Warmth) >= 1 || b.state.settling(now) {
		return false
	}
	b.stats.MaxCold = max(b.stats.MaxCold, b.stats.Concurrent)
	if b.stats.Concurrent <= b.Warmth.bears(b.state.warm(now, b.Warmth), b.Capacity) {
		return false
	}
	b.stats.Overfed++
	return true
}

// end records the end of a call.
func (b *Backend) end(c *activeCall, ok, callerGone bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.stats.WorkMS += milliseconds(now.Sub(c.start))
	if c.record < len(b.calls) {
		b.calls[c.record].End = now
		b.calls[c.record].OK = ok
	}
	if c.boot != b.boot {
		return
	}
	b.stats.Concurrent--
	if ok {
		b.state.served++
	}
	if !ok && callerGone {
		b.stats.Cancelled++
	}
}

// gone reports whether the server has crashed since the call began.
func (b *Backend) gone(c *activeCall) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.boot != b.boot
}

// slowness is the factor by which a call takes longer now.
func (b *Backend) slowness(c *activeCall) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.slow * b.Warmth.slowness(b.state.warm(time.Now(), b.Warmth))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package standin

import (
	"bytes"
	"cmp"
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

// Backend is the part that a model engine and a plain service share: warm-up,
// injected faults, counters and the log of calls. The exported fields must be set
// before it serves.
type Backend struct {
	faultInjector[Faults]
	Name    string
	Version string
	// Capacity is the maximum number of calls that run concurrently; further calls
	// wait.
	Capacity int
	WarmUp   WarmUp
	// ReportLag is the maximum age of the load report at GET /v1/load.
	ReportLag time.Duration

	connections connections

	mu      sync.Mutex
	state   warmUpState       // guarded by mu
	boot    string            // guarded by mu
	version string            // guarded by mu
	stats   Stats             // guarded by mu
	calls   []CallRecord      // guarded by mu
	report  policy.LoadReport // guarded by mu
	served  int               // calls received by this version; guarded by mu
	running int               // calls in execution, not waiting; guarded by mu
	// lastRefused is the ID of the call that was refused last; guarded by mu.
	lastRefused string
}

// Stats are the counters of a backend server.
type Stats struct {
	Calls      int `json:"calls"`
	Concurrent int `json:"concurrent"`
	// MaxConcurrent is the highest number of concurrent calls, MaxCold the
	// highest number while the server was cold.
	MaxConcurrent int `json:"max_concurrent"`
	MaxCold       int `json:"max_cold"`
	// Overloaded counts the calls beyond the limit of the cold server.
	Overloaded int     `json:"overfed"`
	Cancelled  int     `json:"cancelled"`
	Restarts   int     `json:"restarts"`
	Refused    int     `json:"refused"`
	Resumed    int     `json:"resumed"`
	WorkMS     float64 `json:"work_ms"`
	// Tokens is the number of tokens that an engine generated.
	Tokens int     `json:"tokens"`
	Warm   float64 `json:"warm"`
}

// CallRecord is the record of one call at the server.
type CallRecord struct {
	Call    string    `json:"call"`
	Key     string    `json:"key,omitempty"`
	Version string    `json:"version,omitempty"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end,omitzero"`
	OK      bool      `json:"ok"`
	// Bad is true if the call hit a fault of its version; see BadVersion.
	Bad bool `json:"bad,omitempty"`
}

// callInput is the body of a stage call.
type callInput struct {
	Request json.RawMessage `json:"request"`
	work    Work
}

// Work is the part of a caller's request that controls the simulated work of a
// backend server; other fields are ignored.
type Work struct {
	// Tokens and PromptTokens override the engine's defaults.
	Tokens       int `json:"tokens"`
	PromptTokens int `json:"prompt_tokens"`
	// Prefix names the shared prefix of the prompt, which is PrefixTokens long.
	Prefix       string `json:"prefix"`
	PrefixTokens int    `json:"prefix_tokens"`
	// WorkMS overrides the duration of a call of a plain service.
	WorkMS float64 `json:"work_ms"`
	// Route is the route that the caller used; see BadVersion.Route.
	Route string `json:"route"`
}

// activeCall is a call in progress.
type activeCall struct {
	callFaults
	input   callInput
	version string
	boot    string
	start   time.Time
	record  int // index in Backend.calls
}

// prepare initializes the state on first use. The caller holds mu.
func (b *Backend) prepare(now time.Time) {
	if b.boot != "" {
		return
	}
	b.boot = uuid.NewString()
	b.version = b.Version
	b.state.start(now, b.WarmUp.Cold)
}

// handler returns the HTTP handler of the server. It executes stage calls with run.
func (b *Backend) handler(mux *http.ServeMux, run func(http.ResponseWriter, *http.Request, *activeCall) bool) http.Handler {
	b.onChange = b.apply
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, run) })
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.laggingReport()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Stats()) })
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Calls()) })
	b.register(mux)
	return &backendHandler{mux, b}
}

// backendHandler is an HTTP handler that tracks the connections of its server.
type backendHandler struct {
	http.Handler
	backend *Backend
}

func (h *backendHandler) wrap(l net.Listener) net.Listener { return h.backend.connections.wrap(l) }

// apply triggers the faults that take effect once, when they are set.
func (b *Backend) apply(f Faults) {
	if f.Blackhole {
		b.connections.blackhole()
	}
	if f.TurnCold {
		b.mu.Lock()
		b.prepare(time.Now())
		b.state.turnCold(time.Now())
		b.mu.Unlock()
	}
	if f.Crash {
		b.crash(f.downtime())
	}
}

// crash resets all connections and restarts the server cold. New connections are
// reset for the duration down.
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

// serve admits, executes and records one stage call.
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
		b.crash(f.downtime())
		panic(http.ErrAbortHandler)
	}
	if chance(f.Refuse) {
		b.refuse(w, "refused")
		return
	}
	call, overloaded := b.begin(r, input, f)
	if overloaded {
		b.crash(f.downtime())
		panic(http.ErrAbortHandler)
	}
	if call.wrongID {
		w.Header().Set(httpapi.HeaderCallID, uuid.NewString())
	}
	ok := false
	defer func() { b.end(call, ok, r.Context().Err() != nil) }()
	if call.repeatRefusal {
		ok = run(&discardingWriter{header: make(http.Header)}, r, call)
		b.repeatRefusal(w)
		return
	}
	ok = run(w, r, call)
}

// discardingWriter is the writer of a response that is not sent.
type discardingWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discardingWriter) Header() http.Header { return d.header }

// WriteHeader implements http.ResponseWriter.
func (d *discardingWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (d *discardingWriter) Write(p []byte) (int, error) { return len(p), nil }

// Flush implements http.Flusher.
func (d *discardingWriter) Flush() {}

// repeatRefusal sends the last refusal again, or that of another call if there was none.
func (b *Backend) repeatRefusal(w http.ResponseWriter) {
	b.mu.Lock()
	refused := cmp.Or(b.lastRefused, uuid.NewString())
	b.mu.Unlock()
	w.Header().Set(httpapi.HeaderCallID, refused)
	sendRefusal(w, "refused")
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

// refuse responds that the call did not run and that another server may accept it.
func (b *Backend) refuse(w http.ResponseWriter, reason string) {
	b.mu.Lock()
	b.stats.Refused++
	b.lastRefused = w.Header().Get(httpapi.HeaderCallID)
	b.mu.Unlock()
	sendRefusal(w, reason)
}

func sendRefusal(w http.ResponseWriter, reason string) {
	w.Header().Set(httpapi.HeaderNotRun, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// begin records the start of a call. It also reports whether the call exceeds the
// limit of the cold server.
func (b *Backend) begin(r *http.Request, input callInput, f Faults) (*activeCall, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.prepare(now)
	s := &b.stats
	s.Calls++
	s.Concurrent++
	s.MaxConcurrent = max(s.MaxConcurrent, s.Concurrent)
	overloaded := b.overloaded(now)
	c := &activeCall{
		callFaults: f.drawCallFaults(b.version, b.served, s.Concurrent, input.work.Route),
		input:      input, version: b.version, boot: b.boot, start: now, record: len(b.calls),
	}
	b.served++
	if len(b.calls) < maxCallLog {
		b.calls = append(b.calls, CallRecord{
			Call: r.Header.Get(httpapi.HeaderCallID), Key: r.Header.Get(httpapi.HeaderIdempotencyKey),
			Version: b.version, Start: now, Bad: c.badVersion,
		})
	}
	return c, overloaded
}

// overloaded updates the counters of the cold server and reports whether the
// concurrent calls exceed its limit. The caller holds mu.
func (b *Backend) overloaded(now time.Time) bool {
	if b.WarmUp.ColdLimit == 0 || b.state.level(now, b.WarmUp) >= 1 || b.state.inGrace(now) {
		return false
	}
	b.stats.MaxCold = max(b.stats.MaxCold, b.stats.Concurrent)
	if b.stats.Concurrent <= b.WarmUp.maxCalls(b.state.level(now, b.WarmUp), b.Capacity) {
		return false
	}
	b.stats.Overloaded++
	return true
}

// end records the end of a call.
func (b *Backend) end(c *activeCall, ok, callerDisconnected bool) {
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
	if !ok && callerDisconnected {
		b.stats.Cancelled++
	}
}

// restartedSince reports whether the server has restarted since the call began.
func (b *Backend) restartedSince(c *activeCall) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.boot != b.boot
}

// slowness returns the factor by which faults and the warm-up currently lengthen a
// call.
func (b *Backend) slowness(c *activeCall) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.slowdown * b.WarmUp.slowness(b.state.level(time.Now(), b.WarmUp))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

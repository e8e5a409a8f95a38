package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/internal/httpapi"
)

// Defaults and limits of an engine.
const (
	defaultEngineCapacity = 32
	defaultPromptTokens   = 64
	// truncateAfterEvents is the number of events of a truncated stream.
	truncateAfterEvents = 2
)

// Engine simulates a model engine with continuous batching: each step generates one
// token for every running call, and steps take longer the more calls run.
type Engine struct {
	Backend
	// Tokens is the length of a response. Step is the time between two tokens of
	// a call that runs alone.
	Tokens int
	Step   time.Duration
	// PerCall is the time that each further running call adds to a step.
	PerCall time.Duration
	// PerPrompt is the prefill time of one prompt token that is not cached.
	PerPrompt time.Duration
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int
	// EventLag is the delay of cache events. EventLoss is the probability that an
	// event is lost.
	EventLag  time.Duration
	EventLoss float64
	// Fenced makes the engine reject an order with an older fencing token.
	Fenced bool
	// Weights is the URL of the weight store. If it is empty, loading a version
	// takes LoadTime.
	Weights  string
	LoadTime time.Duration

	once  sync.Once
	batch batch
	cache prefixCache
	order currentOrder
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	e.once.Do(e.init)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/cache-events", e.cache.serveEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.order.get()) })
	return e.handler(mux, e.run)
}

func (e *Engine) init() {
	if e.Capacity == 0 {
		e.Capacity = defaultEngineCapacity
	}
	e.batch.engine = e
	e.cache.init(e.CacheTokens, e.EventLag, e.EventLoss)
	e.order.state.Version = e.Version
}

// ResponseToken returns token i, counted from 0, of the response of a version to a
// request in compact JSON.
func ResponseToken(request []byte, version string, i int) string {
	d := xxhash.New()
	_, _ = d.Write(request)
	_, _ = d.WriteString("\x00" + version)
	return fmt.Sprintf("token%d.%04x ", i, d.Sum64()&0xffff)
}

// ResponseText returns the full response of a version to a request in compact JSON.
func ResponseText(request []byte, version string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(ResponseToken(request, version, i))
	}
	return text.String()
}

// run executes one stage call.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, c *activeCall) bool {
	if e.order.get().Loading {
		e.refuse(w, "loading a version")
		return false
	}
	resume, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	priority, _ := strconv.Atoi(r.Header.Get(httpapi.HeaderPriority))
	seq := e.sequence(c, priority, resume)
	e.batch.add(seq)
	defer e.batch.remove(seq)
	if strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		return e.stream(w, r, c, seq, resume)
	}
	return e.sendResponse(w, r, c, seq)
}

// sequence creates the sequence of a call. A call that resumes after a number of
// tokens generates only the remaining ones.
func (e *Engine) sequence(c *activeCall, priority, resume int) *sequence {
	work := c.input.work
	tokens := e.Tokens
	if work.Tokens > 0 {
		tokens = work.Tokens
	}
	prompt := defaultPromptTokens
	if work.PromptTokens > 0 {
		prompt = work.PromptTokens
	}
	prompt -= e.cache.lookupOrStore(work.Prefix, min(work.PrefixTokens, prompt))
	return &sequence{
		call: c, priority: priority, remaining: max(tokens-resume, 0), total: tokens,
		prefill: time.Duration(prompt) * e.PerPrompt,
		tokens:  make(chan struct{}, tokens+1),
	}
}

// nextToken waits for the sequence's next token. It returns false at the end of the
// sequence and when the caller has disconnected.
func (e *Engine) nextToken(r *http.Request, seq *sequence) bool {
	select {
	case _, more := <-seq.tokens:
		return more
	case <-r.Context().Done():
		return false
	}
}

// sendResponse sends the full response once all tokens are generated.
func (e *Engine) sendResponse(w http.ResponseWriter, r *http.Request, c *activeCall, seq *sequence) bool {
	for e.nextToken(r, seq) {
	}
	if r.Context().Err() != nil || e.restartedSince(c) {
		panic(http.ErrAbortHandler)
	}
	if c.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return false
	}
	body, _ := json.Marshal(map[string]string{"text": ResponseText(c.input.Request, c.version, seq.total)})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(httpapi.HeaderEngineMS, strconv.FormatFloat(milliseconds(seq.engineTime()), 'f', 3, 64))
	h.Set(httpapi.HeaderTokens, strconv.Itoa(seq.total))
	e.setLoadHeader(h)
	return c.sendBody(w, body)
}

// stream sends one event per token, starting after the first resume tokens.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, c *activeCall, seq *sequence, resume int) bool {
	if resume > 0 {
		e.countResumed()
	}
	if c.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return false
	}
	flusher := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	event := func(i int) string {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, ResponseToken(c.input.Request, c.version, i))
	}
	if c.truncate && c.breakAt != "" {
		var all strings.Builder
		for i := resume; i < seq.total; i++ {
			all.WriteString(event(i))
		}
		all.WriteString("event: done\ndata: {}\n\n")
		return c.sendBody(w, []byte(all.String()))
	}
	first := resume
	if c.wrongResume && resume > 0 {
		first += rand.IntN(2)*2 - 1
	}
	for i := first; i < seq.total; i++ {
		if i >= resume && !e.nextToken(r, seq) || e.restartedSince(c) {
			panic(http.ErrAbortHandler)
		}
		if c.truncate && i-resume >= truncateAfterEvents {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event(i)) // the caller may have disconnected
		flusher.Flush()
	}
	load, _ := json.Marshal(e.freshReport())
	fmt.Fprintf(w, "event: done\ndata: {\"engine_ms\": %.3f, \"tokens\": %d, \"load\": %s}\n\n",
		milliseconds(seq.engineTime()), seq.total-resume, load)
	return true
}

func (b *Backend) countResumed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Resumed++
}

func (b *Backend) addTokens(tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Tokens += tokens
}

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/internal/httpapi"
)

// Defaults of an engine.
const (
	defaultEngineCapacity = 32
	defaultPromptTokens   = 64
	// cutAfter is the number of events after which a cut answer ends.
	cutAfter = 2
)

// Engine is a model engine that batches continuously: all running calls get a
// token at each step, and a step takes longer the more calls run.
type Engine struct {
	Backend
	// Tokens is the length of an answer, Step the time between two tokens of a
	// call that runs alone.
	Tokens int
	Step   time.Duration
	// PerCall is the time that each further running call adds to a step.
	PerCall time.Duration
	// PerPrompt is the time to read one token of a prompt that is not cached.
	PerPrompt time.Duration
	// CacheTokens is the memory of the prefix cache.
	CacheTokens int
	// EventLag and EventLoss are the delay of cache events and the part of
	// them that is lost.
	EventLag  time.Duration
	EventLoss float64
	// Fenced engines refuse an order with an older fencing number.
	Fenced bool
	// Weights is the URL of the weight store; empty means that loading a
	// version takes LoadTime.
	Weights  string
	LoadTime time.Duration

	once   sync.Once
	batch  batch
	cache  prefixCache
	orders orderBook
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.once.Do(e.init)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/cache-events", e.cache.serveEvents)
	mux.HandleFunc("POST /v1/orders", e.takeOrder)
	mux.HandleFunc("GET /v1/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.orders.get()) })
	return e.handler(mux, e.run)
}

func (e *Engine) init() {
	if e.Capacity == 0 {
		e.Capacity = defaultEngineCapacity
	}
	e.batch.engine = e
	e.cache.init(e.CacheTokens, e.EventLag, e.EventLoss)
	e.orders.state.Version = e.Version
}

// Token returns the token with the number i, from 0, of the answer that a
// version gives to a request in compact JSON.
func Token(request []byte, version string, i int) string {
	d := xxhash.New()
	_, _ = d.Write(request)
	_, _ = d.WriteString("\x00" + version)
	return fmt.Sprintf("token%d.%04x ", i, d.Sum64()&0xffff)
}

// Text returns the whole answer to a request in compact JSON.
func Text(request []byte, version string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(request, version, i))
	}
	return text.String()
}

// run runs one call.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, c *activeCall) bool {
	if e.orders.get().Loading {
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
	return e.whole(w, r, c, seq)
}

// sequence prepares a call for the batch.
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
	prompt -= e.cache.use(work.Prefix, min(work.PrefixTokens, prompt))
	return &sequence{
		call: c, priority: priority, left: max(tokens-resume, 0), total: tokens,
		prefill: time.Duration(prompt) * e.PerPrompt,
		tokens:  make(chan struct{}, tokens+1),
	}
}

// next waits for the sequence's next token. It returns false at the end.
func (e *Engine) next(r *http.Request, seq *sequence) bool {
	select {
	case _, more := <-seq.tokens:
		return more
	case <-r.Context().Done():
		return false
	}
}

// whole sends the answer once it is generated.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, c *activeCall, seq *sequence) bool {
	for e.next(r, seq) {
	}
	if r.Context().Err() != nil || e.gone(c) {
		panic(http.ErrAbortHandler)
	}
	if c.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return false
	}
	body, _ := json.Marshal(map[string]string{"text": Text(c.input.Request, c.version, seq.total)})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(httpapi.HeaderEngineMS, strconv.FormatFloat(milliseconds(seq.worked()), 'f', 3, 64))
	h.Set(httpapi.HeaderTokens, strconv.Itoa(seq.total))
	e.setLoad(h)
	if c.cut {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
	return true
}

// stream sends a token an event, from the one after the resumed ones on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, c *activeCall, seq *sequence, resume int) bool {
	if resume > 0 {
		e.resumed()
	}
	if c.fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return false
	}
	flusher := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := resume; i < seq.total; i++ {
		if !e.next(r, seq) || e.gone(c) {
			panic(http.ErrAbortHandler)
		}
		if c.cut && i-resume >= cutAfter {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, Token(c.input.Request, c.version, i))
		flusher.Flush()
	}
	load, _ := json.Marshal(e.freshReport())
	fmt.Fprintf(w, "event: done\ndata: {\"engine_ms\": %.3f, \"tokens\": %d, \"load\": %s}\n\n",
		milliseconds(seq.worked()), seq.total-resume, load)
	return true
}

func (b *Backend) resumed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Resumed++
}

func (b *Backend) generated(tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Tokens += tokens
}

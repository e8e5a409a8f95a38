package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Engine is a model engine that generates a fixed number of tokens.
type Engine struct {
	Name string
	// Tokens is the length of an answer, Step the time between two tokens.
	Tokens int
	Step   time.Duration
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", e.call)
	return mux
}

func (e *Engine) call(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerCallID, r.Header.Get(headerCallID))
	if strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		e.stream(w, r)
		return
	}
	start := time.Now()
	var text strings.Builder
	for i := range e.Tokens {
		time.Sleep(e.Step)
		text.WriteString(token(i))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerEngineMS, fmt.Sprintf("%.3f", float64(time.Since(start))/float64(time.Millisecond)))
	w.Header().Set(headerTokens, strconv.Itoa(e.Tokens))
	_ = json.NewEncoder(w).Encode(map[string]string{"text": text.String()})
}

func token(i int) string { return "token" + strconv.Itoa(i) + " " }

// stream sends a token an event, from the one after Last-Event-ID on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := first; i < e.Tokens; i++ {
		time.Sleep(e.Step)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, token(i))
		w.(http.Flusher).Flush()
	}
	fmt.Fprintf(w, "event: done\ndata: {\"engine_ms\": %.3f, \"tokens\": %d}\n\n",
		float64(time.Since(start))/float64(time.Millisecond), e.Tokens-first)
}

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

// streamEvents is the number of events of a whole stream.
const streamEvents = 6

// ledger holds what servers ran and what callers were told, and what of it
// breaks a promise.
type ledger struct {
	mu      sync.Mutex
	runs    map[string]int       // by request ID; guarded by mu
	refused map[string]time.Time // requests that were said not to have run; guarded by mu
	asked   map[string]bool      // guarded by mu
	broken  []string             // guarded by mu
	counts  map[string]int       // guarded by mu
}

func newLedger() *ledger {
	return &ledger{runs: make(map[string]int), refused: make(map[string]time.Time), asked: make(map[string]bool), counts: make(map[string]int)}
}

func (l *ledger) breaks(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// ran notes that a server runs a request.
func (l *ledger) ran(q platformtest.Seen, s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[q.ID]++
	once := strings.HasPrefix(q.URI, "/once/") || strings.HasPrefix(q.URI, "/stream/") || strings.HasPrefix(q.URI, "/staged/")
	switch {
	case !l.asked[q.ID]:
		l.breaks("%s ran request %q that no caller sent", s.entry.ID, q.ID)
	case once && l.runs[q.ID] > 1:
		l.breaks("request %s, which may run once, ran %d times", q.ID, l.runs[q.ID])
	case q.Account != "choir":
		l.breaks("request %s ran for account %q", q.ID, q.Account)
	case !strings.Contains(q.URI, q.ID):
		l.breaks("request %s ran with URI %s", q.ID, q.URI)
	}
	if _, said := l.refused[q.ID]; said && once {
		l.breaks("request %s ran after its caller was told that it never would", q.ID)
	}
	if strings.HasPrefix(q.URI, "/staged/") {
		l.checkInputs(q)
	}
}

// checkInputs checks that a request has the results of its own last stage.
func (l *ledger) checkInputs(q platformtest.Seen) {
	handles := strings.Split(q.Inputs, ",")
	for i, h := range handles {
		if !strings.HasSuffix(h, fmt.Sprintf("/%s-1-%d", q.ID, i)) {
			l.breaks("request %s got inputs %q", q.ID, q.Inputs)
			return
		}
	}
	if len(handles) != stagedPieces {
		l.breaks("request %s got %d inputs, want %d", q.ID, len(handles), stagedPieces)
	}
}

// ask notes that a caller sends a request.
func (l *ledger) ask(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[id] = true
}

// told notes what a caller got.
func (l *ledger) told(id, path string, a reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[kindOf(path)+" "+a.summary()]++
	switch {
	case a.status == 503 || a.status == 429:
		if l.runs[id] > 0 && !strings.HasPrefix(path, "/again/") && !strings.HasPrefix(path, "/resume/") && !strings.HasPrefix(path, "/v") {
			l.breaks("request %s was said not to have run, and has", id)
		}
		l.refused[id] = time.Now()
	case a.status == 200 && a.whole:
		if want := wanted(id, path); a.body != want {
			l.breaks("request %s got %q, want %q", id, a.body, want)
		}
	}
}

func (l *ledger) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(format, args...)
}

func kindOf(path string) string { return strings.SplitN(path, "/", 3)[1] }

func answerTo(id string) string { return "answer to " + id }

// wanted is the whole answer to a request.
func wanted(id, path string) string {
	switch kindOf(path) {
	case "stream", "resume", "staged":
		var b strings.Builder
		for i := 1; i <= streamEvents; i++ {
			fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
		}
		return b.String()
	}
	return answerTo(id)
}

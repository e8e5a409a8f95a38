//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two writes of an engine's entry.
const heartbeat = 1200 * time.Millisecond

// engine is an engine of the platform that runs plain requests.
type engine struct {
	stand                      *stand
	id, service, zone, version string
	slots                      int
	work                       time.Duration
	// fail reports whether the run of a request is a failure of the engine.
	fail func(e *engine, path string, now time.Time) bool
	// onRun is called when a request begins to run.
	onRun func(e *engine, id string, at time.Time)
	// respond answers a request, if it is set.
	respond func(w http.ResponseWriter, r *http.Request, id string)
	// crashes reports whether a request crashes the engine.
	crashes func(path string, body []byte) bool

	mu       sync.Mutex
	address  string // guarded by mu
	server   *http.Server
	born     int64
	sequence int
	draining bool
	stopped  bool
	runs     []run
	running  int
}

// run is a request that an engine ran.
type run struct {
	id     string
	at     time.Time // when it began
	failed bool
}

// start starts the engine and registers it.
func (e *engine) start() {
	e.stand.engines = append(e.stand.engines, e)
	e.listen("127.0.0.1:0")
	go func() {
		for {
			time.Sleep(heartbeat)
			e.mu.Lock()
			stopped, up := e.stopped, e.server != nil
			e.mu.Unlock()
			if stopped {
				return
			}
			if up {
				e.register()
			}
		}
	}()
}

func (e *engine) listen(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(notRun(err.Error()))
	}
	server := &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 5 * time.Second}
	e.mu.Lock()
	e.address, e.server, e.born, e.sequence, e.running = l.Addr().String(), server, time.Now().UnixMilli(), 0, 0
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.register()
}

// register writes the engine's entry.
func (e *engine) register() {
	e.mu.Lock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	entry := fields{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	e.mu.Unlock()
	e.stand.put(topicServers, e.id, entry)
}

// stop stops the engine for good without draining, and removes its entry.
func (e *engine) stop() {
	e.mu.Lock()
	e.stopped = true
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	e.stand.store.Put(topicServers, e.id, nil)
	e.stand.log("engine %s (%s) has stopped", e.id, e.version)
}

// crash ends the engine, which is back under a new ID after a time.
func (e *engine) crash(down time.Duration) {
	e.mu.Lock()
	server, address := e.server, e.address
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	e.stand.log("engine %s crashed", e.id)
	time.AfterFunc(down, func() {
		e.listen(address)
		e.stand.log("engine %s is back", e.id)
	})
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	now := time.Now()
	e.mu.Lock()
	if e.running >= 4*e.slots {
		e.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if e.onRun != nil {
		e.onRun(e, id, now)
	}
	crash := e.crashes != nil && e.crashes(r.URL.Path, body)
	failed := !crash && e.fail != nil && e.fail(e, r.URL.Path, now)
	e.mu.Lock()
	e.runs = append(e.runs, run{id, now, failed || crash})
	load := fmt.Sprintf("%d,%d,%d", e.running, 0, e.slots)
	e.mu.Unlock()
	e.stand.log("engine %s (%s) runs %s for %s, failed=%v crashes=%v", e.id, e.version, id, r.Header.Get("Tenant"), failed, crash)
	if e.respond != nil && !crash {
		e.respond(w, r, id)
		return
	}
	if crash {
		sleep(r.Context(), 5*time.Millisecond)
		e.crash(3 * time.Second)
		panic(http.ErrAbortHandler)
	}
	if !sleep(r.Context(), e.work) {
		return
	}
	w.Header().Set("Server-Signature", "3e1b.07."+id)
	w.Header().Set("Server-Load", load)
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	fmt.Fprintf(w, "%s by %s", id, e.id)
}

// sleep waits and reports whether the context did not end before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// ranSince returns how many requests began to run since a time.
func (e *engine) ranSince(at time.Time) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.runs) - 1; i >= 0 && e.runs[i].at.After(at); i-- {
		n++
	}
	return n
}

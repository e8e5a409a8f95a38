//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic and faults of the case, within the figures of dcrc-rota.
const (
	stagePerSecond = 15   // for each of two stage services, of 44 and 24.8 on the sheet
	greyPortion    = 0.45 // of the calls to one of five engines fail
	doubledPortion = 0.03 // of the answers of three of five engines are sent again, late
	garbleTime     = 5 * time.Second
	garblePause    = 500 * time.Millisecond
	mixedTraffic   = 90 * time.Second
)

// mixedResults sends requests with one stage of one piece to three instances, while one
// engine of each stage service fails part of its calls and engines send answers again, and
// returns the requests that were given the result of another one (MIXED).
func mixedResults(s *stand) []string {
	route := func(name, prefix, stage string) fields {
		return fields{
			"name": name, "host": host, "path_prefix": prefix, "type": "streaming", "timeout_ms": 6000, "goal_ms": 1800, "priority": 0,
			"service": "urn", "max_attempts": 2, "phases": []fields{{"service": stage, "after": []int{}, "size_bytes": 8000}},
			"public": false, "sticky": true, "resumable": true, "gap_goal_ms": 300,
		}
	}
	s.put(topicOp, "config", config(7, []fields{route("r-notice", "/notice/", "hall-book"), route("r-query", "/query/", "notices")}, []fields{
		{
			"name": "urn", "health_path": "/healthz", "max_connections": 610, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 22.0,
			"engine": fields{"slots": 128, "kv_capacity": 572090},
		},
		{
			"name": "hall-book", "health_path": "/healthz", "max_connections": 610, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
			"segments": fields{"slots": 1, "queue": 2, "batch": 20, "call_ms": 200.0, "item_ms": 8.6, "headroom_mb": 45.0, "handle_ttl_s": 4.0, "link_mbps": 10000},
		},
		{
			"name": "notices", "health_path": "/healthz", "max_connections": 610, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
			"segments": fields{"slots": 1, "queue": 2, "batch": 96, "call_ms": 200.0, "item_ms": 1.8, "headroom_mb": 1.3, "handle_ttl_s": 4.0, "link_mbps": 10000},
		},
	}))
	zones := []string{"tas-hobart", "tas-launceston", "tas-devonport", "tas-burnie"}
	var garbling atomic.Bool
	var stages []*stageEngine
	startStage := func(service string, batch int, item time.Duration) {
		for i := range 5 {
			e := &stageEngine{stand: s, id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zones[i%4], batch: batch, call: 200 * time.Millisecond, item: item}
			if s.trouble && i == 0 {
				e.fails = func() bool { return garbling.Load() && rand.Float64() < greyPortion }
			}
			if s.trouble && i < 3 {
				e.doubles = func() bool { return garbling.Load() && rand.Float64() < doubledPortion }
			}
			e.start()
			stages = append(stages, e)
		}
	}
	startStage("hall-book", 20, 8600*time.Microsecond)
	startStage("notices", 96, 1800*time.Microsecond)
	owner := func(handle string) (piece, bool) {
		for _, e := range stages {
			e.mu.Lock()
			p, ok := e.pieces[handle]
			e.mu.Unlock()
			if ok {
				return p, true
			}
		}
		return piece{}, false
	}
	var mu sync.Mutex
	var broken []string
	for i := range 6 {
		e := &engine{stand: s, id: fmt.Sprintf("i-urn-%d", i), service: "urn", zone: zones[i%4], version: "v1", slots: 128}
		e.respond = func(w http.ResponseWriter, r *http.Request, id string) {
			inputs := strings.Split(r.Header.Get("Inputs"), ",")
			s.log("engine %s runs %s with inputs %v", e.id, id, inputs)
			for _, handle := range inputs {
				if p, ok := owner(handle); ok && p.Request != id {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("request %s was given the result %s of request %s", id, handle, p.Request))
					mu.Unlock()
				}
			}
			w.Header().Set("Server-Signature", "3e1b.07."+id)
			w.Header().Set("Content-Type", "text/event-stream")
			for n := 1; n <= 5; n++ {
				if !sleep(r.Context(), 50*time.Millisecond) {
					return
				}
				fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
				w.(http.Flusher).Flush()
			}
		}
		e.start()
	}
	for i, zone := range []string{"tas-hobart", "tas-launceston", "tas-devonport"} {
		s.newInstance(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
	}
	s.startAll(6*time.Second, s.instances...)
	stop := make(chan struct{})
	go func() {
		for {
			garbling.Store(true)
			if !pause(stop, garbleTime) {
				return
			}
			garbling.Store(false)
			if !pause(stop, garblePause) {
				return
			}
		}
	}()
	clients := make([]*client, 24)
	for i := range clients {
		clients[i] = newClient()
	}
	var requests sync.WaitGroup
	var served, other atomic.Int64
	end := time.Now().Add(mixedTraffic)
	var n atomic.Int64
	traffic := func(path string) {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / stagePerSecond))
			requests.Go(func() {
				k := int(n.Add(1))
				id, in := s.newID(k), s.instances[rand.IntN(len(s.instances))]
				a := clients[k%len(clients)].sendWith(in, "POST", path, id, 6*time.Second, []byte("b "+id), map[string]string{
					"Model": "m", "Token-Usage": "2368,25", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:341,%x:227,%x:1800", 0x91bd0000+k%520, 0xe4400000+k),
					"Pieces": "1", "Piece-Key": fmt.Sprintf("7c1e%08x", k),
				})
				s.log("client sent %s to %s: %v", id, in.name, a)
				if a.status == http.StatusOK {
					served.Add(1)
				} else {
					other.Add(1)
				}
			})
		}
	}
	var generators sync.WaitGroup
	generators.Go(func() { traffic("/notice/draft") })
	generators.Go(func() { traffic("/query/answer") })
	generators.Wait()
	requests.Wait()
	close(stop)
	for _, e := range stages {
		e.mu.Lock()
		s.note("stage engine %s: %d answers, %d failed, %d sent again", e.id, e.answers, e.failed, e.doubled)
		e.mu.Unlock()
	}
	s.note("%d requests served, %d not", served.Load(), other.Load())
	if served.Load() == 0 {
		panic(notRun("no request was served"))
	}
	return broken
}

// pause waits and reports whether stop was not closed before.
func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

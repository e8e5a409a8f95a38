package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/platform/platformtest"
	"github.com/savoryfold/savoryfold/test/loopback"
)

const (
	stageService = "hall-book"
	stageServers = 3
	modelService = "urn"
	// stageCallTime and stagePieceTime are the durations of the small site.
	stageCallTime  = 200 * time.Millisecond
	stagePieceTime = 8 * time.Millisecond
	// A faulty stage server fails one of failedEvery calls. It sends at most one of
	// repeatedEvery answers a second time: the next one to a call that it failed.
	failedEvery   = 5
	repeatedEvery = 34
	answersRate   = 12 // requests per second
	answersTime   = 90 * time.Second
	// foreignShown is the number of requests with foreign inputs that are recorded.
	foreignShown = 5
)

// stageServer is a stage server. A faulty one fails some calls as a whole, and may send the
// answer to such a call again at the point where the next answer is expected.
type stageServer struct {
	d        *deployment
	id       string
	listener net.Listener
	faulty   bool
	repeats  bool

	slot    sync.Mutex // one call at a time
	mu      sync.Mutex
	calls   int                   // guarded by mu
	planned int                   // answers to send again; guarded by mu
	handles int                   // guarded by mu
	conns   map[net.Conn]struct{} // guarded by mu
}

func (d *deployment) startStageServer(id, zone string, faulty, repeats bool) error {
	address, err := loopback.FreeAddress("tcp")
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &stageServer{d: d, id: id, listener: l, faulty: faulty, repeats: repeats, conns: make(map[net.Conn]struct{})}
	r := d.register(platformtest.Entry{ID: id, Service: stageService, Address: l.Addr().String(), Zone: zone, Version: "v1", Slots: 1})
	d.onStop(func() {
		r.end()
		_ = l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			go s.serveConn(c)
		}
	}()
	return nil
}

// stageCall is the body of a call.
type stageCall struct {
	Entries []struct {
		ID      string   `json:"id"`
		Phase   int      `json:"phase"`
		Segment int      `json:"segment"`
		Inputs  []string `json:"inputs"`
	} `json:"entries"`
}

// serveConn serves one call after the other.
func (s *stageServer) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	var extra []byte // sent where the next answer is expected
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path != platform.StageRunPath {
			var body json.RawMessage
			if json.NewDecoder(r.Body).Decode(&body) != nil || writeAnswer(c, []byte("{}")) != nil {
				return
			}
			continue
		}
		var q stageCall
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			return
		}
		if extra != nil {
			s.d.note("stage server %s gets a call of request %s and sends its last answer again first", s.id, q.requests())
			if writeAnswer(c, extra) != nil {
				return
			}
			extra = nil
		}
		answer, repeat := s.work(q)
		if writeAnswer(c, answer) != nil {
			return
		}
		if repeat {
			extra = answer
		}
	}
}

func (q stageCall) requests() string {
	var ids []string
	for _, e := range q.Entries {
		ids = append(ids, e.ID)
	}
	return strings.Join(ids, ",")
}

// work works on a call and returns its answer, and whether to send that again later.
func (s *stageServer) work(q stageCall) (answer []byte, repeat bool) {
	s.slot.Lock()
	defer s.slot.Unlock()
	time.Sleep(stageCallTime + time.Duration(len(q.Entries))*stagePieceTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	failed := s.faulty && s.calls%failedEvery == 0
	entries := make([]map[string]string, 0, len(q.Entries))
	for _, e := range q.Entries {
		if failed {
			entries = append(entries, map[string]string{"reason": "error"})
			continue
		}
		s.handles++
		entries = append(entries, map[string]string{"handle": fmt.Sprintf("%s/%s.%d.%d.%d", s.listener.Addr(), e.ID, e.Phase, e.Segment, s.handles)})
	}
	answer, err := json.Marshal(map[string]any{"entries": entries})
	if err != nil {
		panic("stand2: " + err.Error())
	}
	repeat = failed && s.repeats && (s.planned+1)*repeatedEvery <= s.calls
	if repeat {
		s.planned++
	}
	s.d.note("stage server %s answers a call of request %s: %s", s.id, q.requests(), answer)
	return answer, repeat
}

func writeAnswer(c net.Conn, body []byte) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

// playLateAnswer checks that each request reaches its model server with its own inputs, while
// a stage server sends some answers again, late.
func playLateAnswer(d *deployment, trouble bool) (bool, error) {
	d.store.PutConfig(platformtest.Config{
		Version: 1,
		Routes: []platformtest.Route{{
			Name: "minutes", Host: "rota.example", Prefix: "/minutes/", Kind: "streaming", Service: modelService, TimeoutMS: 6000, GoalMS: 1000, Attempts: 1, Priority: 1, Prompted: true,
			Stages: []platformtest.Stage{{Service: stageService, Bytes: 1_500_000}},
		}},
		Services: []platformtest.Service{
			{Name: modelService, Engine: true, Connections: 610},
			{Name: stageService, Batch: 20, CallMS: 200, HeadroomMB: 45, Connections: 610},
		},
		Keys: map[string]string{"key-of-choir": "choir"},
	})
	var foreign atomic.Int64
	for _, zone := range zones {
		b := platformtest.NewBackend("i-model-" + zone)
		b.Do = func(w http.ResponseWriter, _ *http.Request, s platformtest.ReceivedRequest) {
			if s.Inputs == "" {
				platformtest.Refuse(w, http.StatusBadRequest)
				return
			}
			d.note("model server %s runs request %s with inputs %s", b.ID, s.ID, s.Inputs)
			isForeign := func(handle string) bool { return !strings.Contains(handle, "/"+s.ID+".0.") }
			if slices.ContainsFunc(strings.Split(s.Inputs, ","), isForeign) {
				if foreign.Add(1) <= foreignShown {
					d.note("WRONG: request %s was given inputs of another request: %s", s.ID, s.Inputs)
				}
			}
			platformtest.StreamSlowly(w, 1, 4, 20*time.Millisecond)
		}
		r := d.register(platformtest.Entry{ID: b.ID, Service: modelService, Address: b.Address(), Zone: zone, Version: "v1", Slots: 128})
		d.onStop(func() { r.end(); b.Close() })
	}
	for i := range stageServers {
		faulty := i == 0
		if err := d.startStageServer(fmt.Sprint("i-stage-", i), zones[i%len(zones)], faulty, faulty && trouble); err != nil {
			return false, err
		}
	}
	if err := d.startNodes(zones...); err != nil {
		return false, err
	}
	c := newCallers(d)
	ctx, cancel := context.WithTimeout(context.Background(), answersTime)
	defer cancel()
	c.send(ctx, answersRate, func(n int) platformtest.Request {
		return platformtest.Request{
			Method: "POST", Host: "rota.example", Path: "/minutes/summary", APIKey: "key-of-choir", Body: "minutes", Timeout: 6 * time.Second,
			Pieces: "1", Prompt: fmt.Sprintf("5c1e07a2:800,%x:410", n+1), Header: http.Header{"Token-Usage": {"1210,40"}},
		}
	})
	d.note("%s", c.summary())
	d.note("%d requests were given inputs of another request", foreign.Load())
	return foreign.Load() == 0, nil
}

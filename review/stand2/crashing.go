//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

const (
	modelService = "urn"
	crashServers = 6
	soundRate    = 20 // requests per second
	// crashTime is the time of a case, and repeatInterval the time between two sends of the
	// request that crashes servers.
	crashTime      = 80 * time.Second
	repeatInterval = 2500 * time.Millisecond
	// downTime is the time from a crash until a server is back.
	downTime = 3 * time.Second
	// contactTime and allowedRetries are bounds of the rule.
	contactTime    = 3 * time.Second
	allowedRetries = 3
	crashesToShow  = 3

	soundBody    = "sound"
	crashingBody = "minutes that crash the server"
)

// modelServers are model servers that may crash.
type modelServers struct {
	d       *deployment
	crashes bool

	mu       sync.Mutex
	starts   int                  // guarded by mu
	current  map[int]*modelServer // by place; guarded by mu
	crashed  []time.Time          // guarded by mu
	arrivals []arrival            // of the crashing request; guarded by mu
	stopped  bool                 // guarded by mu
}

type modelServer struct {
	backend      *platformtest.Backend
	registration *registration
}

// start starts a server at a place, with a new ID and address.
func (m *modelServers) start(place int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.starts++
	b := platformtest.NewBackend(fmt.Sprintf("i-model-%d-%d", place, m.starts))
	s := &modelServer{backend: b}
	b.Do = func(w http.ResponseWriter, hr *http.Request, r platformtest.ReceivedRequest) {
		if r.Body != crashingBody {
			platformtest.StreamSlowly(w, 1, 4, 20*time.Millisecond)
			return
		}
		m.mu.Lock()
		m.arrivals = append(m.arrivals, arrival{r.ID, r.At})
		m.mu.Unlock()
		m.d.note("server %s begins to run request %s, which crashes servers", b.ID, r.ID)
		if !m.crashes {
			platformtest.StreamSlowly(w, 1, 4, 20*time.Millisecond)
			return
		}
		go m.crash(place, s)
		<-hr.Context().Done()
	}
	s.registration = m.d.register(platformtest.Entry{ID: b.ID, Service: modelService, Address: b.Address(), Zone: zones[place%len(zones)], Version: "v1", Slots: 128})
	m.current[place] = s
}

// crash ends a server, which is back after downTime. Its entry is removed after three
// heartbeats of silence.
func (m *modelServers) crash(place int, s *modelServer) {
	m.mu.Lock()
	m.crashed = append(m.crashed, time.Now())
	m.mu.Unlock()
	m.d.note("server %s crashes", s.backend.ID)
	s.registration.silence()
	s.backend.Close()
	time.AfterFunc(3*heartbeat, s.registration.end)
	time.AfterFunc(downTime, func() { m.start(place) })
}

func (m *modelServers) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for _, s := range m.current {
		s.registration.end()
		s.backend.Close()
	}
}

// prompt returns the parts of a prompt: two that all requests share, and one of its own.
func prompt() string { return fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", rand.Uint32()) }

// playCrashing sends a request that crashes each server that begins to run it again and
// again, with the same path, caller and body, and a part of the prompt of its own each time.
// Without the disruption it crashes none.
func playCrashing(d *deployment, trouble bool) (bool, error) {
	d.store.PutConfig(platformtest.Config{
		Version:  1,
		Routes:   []platformtest.Route{{Name: "minutes", Host: "rota.example", Prefix: "/minutes/", Kind: "streaming", Service: modelService, TimeoutMS: 6000, GoalMS: 1000, Attempts: 1, Priority: 1, Prompted: true}},
		Services: []platformtest.Service{{Name: modelService, Engine: true, Connections: 610}},
		Keys:     map[string]string{"key-of-choir": "choir", "key-of-other-choir": "other-choir"},
	})
	m := &modelServers{d: d, crashes: trouble, current: make(map[int]*modelServer)}
	for place := range crashServers {
		m.start(place)
	}
	d.onStop(m.stop)
	if err := d.startNodes(zones...); err != nil {
		return false, err
	}
	c := newCallers(d)
	ctx, cancel := context.WithTimeout(context.Background(), crashTime)
	defer cancel()
	request := func(key, body string) platformtest.Request {
		return platformtest.Request{Method: "POST", Host: "rota.example", Path: "/minutes/summary", APIKey: key, Body: body, Timeout: 6 * time.Second, Prompt: prompt(), Header: http.Header{"Token-Usage": {"1460,40"}}}
	}
	var sound sync.WaitGroup
	sound.Go(func() {
		c.send(ctx, soundRate, func(int) platformtest.Request { return request("key-of-choir", soundBody) })
	})
	other := newCallers(d)
	other.sendEach(ctx, repeatInterval, func(int) platformtest.Request { return request("key-of-other-choir", crashingBody) })
	sound.Wait()
	d.note("sound requests: %s", c.summary())
	d.note("the request that crashes servers: %s", strings.Replace(other.summary(), "requests", "sends", 1))
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.crashed) < crashesToShow {
		d.note("%d crashes", len(m.crashed))
		return true, nil
	}
	from := m.crashed[crashesToShow-1].Add(contactTime)
	late := 0
	for _, a := range m.arrivals {
		if other.sent(a.id).After(from) {
			late++
		}
	}
	d.note("%d crashes; %d retries that were sent more than %v after the third one reached servers, %d are allowed", len(m.crashed), late, contactTime, allowedRetries)
	return late <= allowedRetries, nil
}

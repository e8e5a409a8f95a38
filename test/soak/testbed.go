package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/platform/platformtest"
	"github.com/savoryfold/savoryfold/test/harness"
	"github.com/savoryfold/savoryfold/test/loopback"
	"github.com/savoryfold/savoryfold/test/relay"
)

// Options configure a run.
type Options struct {
	Seed      uint64
	Length    time.Duration
	Instances int
	// Out receives a line for each fault, and the logs after a violation.
	Out io.Writer
}

// testbed holds all processes, servers and links of a run.
type testbed struct {
	options   Options
	random    *rand.Rand // used only by the goroutine that injects faults
	dir       string
	binaries  harness.Binaries
	store     *platformtest.Store
	instances []*instance
	servers   []*server
	checker   *checker
	// duties is the platform's side of the duty calls, which dutyChecker checks.
	duties      *platformtest.Duties
	dutyChecker *dutyChecker
	version     atomic.Int64
	startedAt   time.Time
	printing    sync.Mutex // serializes the lines of faults
	// changes serializes faults, which change server entries, zones and settings.
	changes  sync.Mutex
	zonesOut map[string]bool // guarded by changes
}

// instance is one savoryfold instance, its process and its link to the store.
type instance struct {
	id, zone                string
	listen, readiness, peer string
	settings                string
	storeLink               *relay.TCP
	mu                      sync.Mutex
	process                 *harness.Process // guarded by mu
	starts                  int              // number of starts; guarded by mu
	down                    bool             // stopped by a fault; guarded by mu
}

// server is a backend server or a stage server behind a link.
type server struct {
	entry   platformtest.Entry
	link    *relay.TCP
	backend *platformtest.Backend
	stage   *platformtest.StageServer
	// failurePercent is the percentage of the requests that fail.
	failurePercent atomic.Int64
	// answerFault is how the answers of an engine go wrong; nil if they do not.
	answerFault atomic.Pointer[answerFault]
	// received counts the requests that reached the backend server.
	received atomic.Int64
}

const appHost = "soak.example"

func newTestbed(o Options) (*testbed, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	tb := &testbed{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), dir: dir, store: platformtest.NewStore(), checker: newChecker(), startedAt: time.Now(), zonesOut: make(map[string]bool)}
	if tb.binaries, err = harness.Build(dir); err != nil {
		return nil, err
	}
	tb.duties, tb.dutyChecker = platformtest.NewDuties(), newDutyChecker(tb.checker)
	tb.duties.OnCall = tb.dutyChecker.check
	tb.configure()
	for i, service := range []string{"app", "app", "app", "llm", "llm", "llm", "first", "first", "second", "second"} {
		if err := tb.addServer(fmt.Sprintf("s-%d", i), service, zoneOf(i)); err != nil {
			return nil, err
		}
	}
	for i := range o.Instances {
		if err := tb.addInstance(i); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

func zoneOf(i int) string { return "z" + strconv.Itoa(i%2) }

// configure publishes a new configuration with one more route than the previous
// one.
func (tb *testbed) configure() {
	tb.version.Add(1)
	tb.writeConfig()
}

// writeConfig writes the current configuration.
func (tb *testbed) writeConfig() {
	v := tb.version.Load()
	c := platformtest.Config{
		Version: 2 * v, Keys: map[string]string{"soak-key": "choir"},
		Routes: []platformtest.Route{
			{Name: "once", Host: appHost, Prefix: "/once/", Kind: "non_idempotent", Service: "app", TimeoutMS: 2000, GoalMS: 300, Attempts: 1},
			{Name: "again", Host: appHost, Prefix: "/again/", Kind: "idempotent", Service: "app", TimeoutMS: 2000, GoalMS: 300, Attempts: 3},
			{Name: "stream", Host: appHost, Prefix: "/stream/", Kind: "streaming", Service: "llm", TimeoutMS: 4000, GoalMS: 800, Attempts: 1, Prompted: true},
			{Name: "resume", Host: appHost, Prefix: "/resume/", Kind: "streaming", Service: "llm", TimeoutMS: 4000, GoalMS: 800, Attempts: 3, Prompted: true, Resumable: true},
			{Name: "staged", Host: appHost, Prefix: "/staged/", Kind: "streaming", Service: "llm", TimeoutMS: 4000, GoalMS: 1500, Attempts: 1, Prompted: true,
				Stages: []platformtest.Stage{{Service: "first", Bytes: 1000}, {Service: "second", After: []int{0}, Bytes: 1000}}},
		},
		Services: []platformtest.Service{
			{Name: "app", Connections: 400}, {Name: "llm", Engine: true, Connections: 400},
			{Name: "first", Batch: 16, CallMS: 40, HeadroomMB: 10}, {Name: "second", Batch: 16, CallMS: 40, HeadroomMB: 10},
		},
	}
	for i := int64(1); i <= v; i++ {
		c.Routes = append(c.Routes, platformtest.Route{Name: fmt.Sprint("v", i), Host: appHost, Prefix: fmt.Sprintf("/v%d/", i), Kind: "idempotent", Service: "app", TimeoutMS: 2000, Attempts: 2})
	}
	tb.store.PutConfig(c)
}

// addServer starts a server behind a link and registers it in the store.
func (tb *testbed) addServer(id, service, zone string) error {
	s := &server{}
	address := ""
	if service == "first" || service == "second" {
		s.stage = platformtest.NewStageServer(id, 40*time.Millisecond)
		address = s.stage.Address()
	} else {
		s.backend = platformtest.NewBackend(id)
		s.backend.Do = tb.handler(s)
		address = s.backend.Address()
	}
	link, err := relay.NewTCP(address, nil)
	if err != nil {
		return errors.Wrap(err, "link")
	}
	s.link = link
	s.entry = platformtest.Entry{ID: id, Service: service, Address: link.Address(), Zone: zone, Version: "v1", Slots: 8, Born: 1, Sequence: 1}
	tb.servers = append(tb.servers, s)
	tb.store.PutServer(s.entry)
	return nil
}

// handler returns the server's request handler, which records each request that
// runs and injects the failures of failurePercent.
func (tb *testbed) handler(s *server) func(http.ResponseWriter, *http.Request, platformtest.ReceivedRequest) {
	return func(rw http.ResponseWriter, r *http.Request, q platformtest.ReceivedRequest) {
		s.received.Add(1)
		roll := rand.Int64N(100)
		bad := roll < s.failurePercent.Load()
		if bad && roll%4 == 0 {
			platformtest.Refuse(rw, http.StatusServiceUnavailable)
			return
		}
		from := 1
		if n, err := strconv.Atoi(q.LastEvent); err == nil {
			from = n + 1
		}
		if tb.answerWrongly(rw, q, s, from) {
			return
		}
		tb.checker.recordRun(q, s)
		if s.entry.Service == "llm" {
			if bad {
				platformtest.Stream(rw, from, from+1)
				platformtest.AbortConnection()
			}
			platformtest.Stream(rw, from, streamEvents)
			return
		}
		switch {
		case bad && roll%4 == 1:
			platformtest.AbortConnection()
		case bad && roll%4 == 2:
			platformtest.RespondWithOtherID(rw)
		case bad:
			rw.Header().Set("Content-Length", "1000")
			platformtest.Respond(rw, http.StatusOK, "cut short")
		default:
			platformtest.Respond(rw, http.StatusOK, responseBody(q.ID))
		}
	}
}

// addInstance starts an instance and waits until it listens.
func (tb *testbed) addInstance(i int) error {
	link, err := relay.NewTCP(tb.store.Address(), nil)
	if err != nil {
		return errors.Wrap(err, "start link to store")
	}
	n := &instance{id: fmt.Sprintf("e%d", i), zone: zoneOf(i), storeLink: link}
	tb.instances = append(tb.instances, n)
	for range maxStartAttempts {
		if err := tb.writeSettings(n); err != nil {
			return err
		}
		if err := tb.start(n); err != nil {
			return err
		}
		if tb.waitListening(n) {
			return nil
		}
		// Another process may have bound one of the ports in the meantime.
		if !strings.Contains(n.process.Log(), "address already in use") {
			return errors.Errorf("start of %s failed: %s", n.id, n.process.Log())
		}
	}
	return errors.Errorf("no free ports found for %s", n.id)
}

const (
	// maxStartAttempts limits the sets of ports that are tried for an instance.
	maxStartAttempts = 5
	// startTimeout is the time in which an instance must become ready.
	startTimeout = 10 * time.Second
)

// waitListening waits until an instance is ready, and reports whether it is.
func (tb *testbed) waitListening(n *instance) bool {
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && n.process.Running(); time.Sleep(10 * time.Millisecond) {
		if ready(n.readiness) {
			return true
		}
	}
	return false
}

// writeSettings reserves addresses for an instance and writes its settings file.
func (tb *testbed) writeSettings(n *instance) error {
	var err error
	for _, address := range []*string{&n.listen, &n.readiness, &n.peer} {
		if *address, err = loopback.FreeAddress("tcp"); err != nil {
			return err
		}
	}
	n.settings = filepath.Join(tb.dir, n.id+".ini")
	text := platformtest.Settings{
		ID: n.id, Zone: n.zone, Store: n.storeLink.Address(), Peer: n.peer, Listen: n.listen, Readiness: n.readiness,
		MemberTTL: 2 * time.Second, Drain: 500 * time.Millisecond, RepeatExtra: 50,
		Extra: tb.duties.Settings(n.storeLink.Address(), n.peer),
	}.Text()
	return errors.Wrap(os.WriteFile(n.settings, []byte(text), 0o600), "settings")
}

// start starts an instance's process.
func (tb *testbed) start(n *instance) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, err := harness.Start(n.id, false, tb.binaries.Instance, "--settings", n.settings)
	if err != nil {
		return err
	}
	n.process, n.down = p, false
	n.starts++
	return nil
}

// running returns the instance's process and its number of starts. The process is
// nil while a fault keeps it down.
func (n *instance) running() (*harness.Process, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nil, n.starts
	}
	return n.process, n.starts
}

// takeDown marks the instance as down and returns its process, or nil if it is
// already down.
func (n *instance) takeDown() *harness.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nil
	}
	n.down = true
	return n.process
}

// close stops everything that the run started.
func (tb *testbed) close() {
	for _, n := range tb.instances {
		n.process.Signal(syscall.SIGCONT)
		n.process.Kill()
		n.storeLink.Close()
	}
	for _, s := range tb.servers {
		s.link.Close()
		if s.backend != nil {
			s.backend.Close()
		} else {
			s.stage.Close()
		}
	}
	tb.duties.Close()
	tb.store.Close()
	_ = os.RemoveAll(tb.dir) // created by newTestbed
}

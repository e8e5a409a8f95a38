package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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
	"github.com/savoryfold/savoryfold/test/relay"
)

// Options are the settings of a run.
type Options struct {
	Seed      uint64
	Length    time.Duration
	Instances int
	// Out gets a line for each fault.
	Out io.Writer
}

// world is everything that a run starts.
type world struct {
	options  Options
	random   *rand.Rand // used by the goroutine of the faults only
	dir      string
	binaries harness.Binaries
	store    *platformtest.Store
	nodes    []*node
	servers  []*server
	ledger   *ledger
	version  atomic.Int64
	began    time.Time
}

// node is one instance, its process and its way to the store.
type node struct {
	id, zone               string
	front, readiness, peer string
	settings               string
	storeLink              *relay.TCP
	mu                     sync.Mutex
	process                *harness.Process // guarded by mu
	life                   int              // counts starts; guarded by mu
	down                   bool             // a fault keeps it from running; guarded by mu
}

// server is a backend server or stage server behind a link.
type server struct {
	entry   platformtest.Entry
	link    *relay.TCP
	backend *platformtest.Backend
	stage   *platformtest.StageServer
	// trouble is the part of the requests that it answers badly, in percent.
	trouble atomic.Int64
	// asked counts the requests that reached a backend server.
	asked atomic.Int64
}

const appHost = "soak.example"

func newWorld(o Options) (*world, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	w := &world{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), dir: dir, store: platformtest.NewStore(), ledger: newLedger(), began: time.Now()}
	if w.binaries, err = harness.Build(dir); err != nil {
		return nil, err
	}
	w.configure()
	for i, service := range []string{"app", "app", "app", "llm", "llm", "llm", "first", "first", "second", "second"} {
		if err := w.addServer(fmt.Sprintf("s-%d", i), service, zoneOf(i)); err != nil {
			return nil, err
		}
	}
	for i := range o.Instances {
		if err := w.addNode(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func zoneOf(i int) string { return "z" + strconv.Itoa(i%2) }

// configure puts a new configuration in force, with one route more than the one
// before.
func (w *world) configure() {
	v := w.version.Add(1)
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
			{Name: "first", Batch: 16, CallMS: 40, RoomMB: 10}, {Name: "second", Batch: 16, CallMS: 40, RoomMB: 10},
		},
	}
	for i := int64(1); i <= v; i++ {
		c.Routes = append(c.Routes, platformtest.Route{Name: fmt.Sprint("v", i), Host: appHost, Prefix: fmt.Sprintf("/v%d/", i), Kind: "idempotent", Service: "app", TimeoutMS: 2000, Attempts: 2})
	}
	w.store.PutConfig(c)
}

// addServer starts a server behind a link and enters it.
func (w *world) addServer(id, service, zone string) error {
	s := &server{}
	address := ""
	if service == "first" || service == "second" {
		s.stage = platformtest.NewStageServer(id, 40*time.Millisecond)
		address = s.stage.Address()
	} else {
		s.backend = platformtest.NewBackend(id)
		s.backend.Do = w.behaviour(s)
		address = s.backend.Address()
	}
	link, err := relay.NewTCP(address, nil)
	if err != nil {
		return errors.Wrap(err, "link")
	}
	s.link = link
	s.entry = platformtest.Entry{ID: id, Service: service, Address: link.Address(), Zone: zone, Version: "v1", Slots: 8, Born: 1, Sequence: 1}
	w.servers = append(w.servers, s)
	w.store.PutServer(s.entry)
	return nil
}

// behaviour answers requests and notes what ran.
func (w *world) behaviour(s *server) func(http.ResponseWriter, *http.Request, platformtest.Seen) {
	return func(rw http.ResponseWriter, r *http.Request, q platformtest.Seen) {
		s.asked.Add(1)
		roll := rand.Int64N(100)
		bad := roll < s.trouble.Load()
		if bad && roll%4 == 0 {
			platformtest.Refuse(rw, http.StatusServiceUnavailable)
			return
		}
		w.ledger.ran(q, s)
		if s.entry.Service == "llm" {
			from := 1
			if n, err := strconv.Atoi(q.LastEvent); err == nil {
				from = n + 1
			}
			if bad {
				platformtest.Stream(rw, from, from+1)
				platformtest.Break()
			}
			platformtest.Stream(rw, from, streamEvents)
			return
		}
		switch {
		case bad && roll%4 == 1:
			platformtest.Break()
		case bad && roll%4 == 2:
			platformtest.AnswerToAnother(rw)
		case bad:
			rw.Header().Set("Content-Length", "1000")
			platformtest.Answer(rw, http.StatusOK, "cut short")
		default:
			platformtest.Answer(rw, http.StatusOK, answerTo(q.ID))
		}
	}
}

// addNode prepares an instance.
func (w *world) addNode(i int) error {
	link, err := relay.NewTCP(w.store.Address(), nil)
	if err != nil {
		return errors.Wrap(err, "link to the store")
	}
	n := &node{id: fmt.Sprintf("e%d", i), zone: zoneOf(i), storeLink: link}
	w.nodes = append(w.nodes, n)
	for range startTries {
		if err := w.settle(n); err != nil {
			return err
		}
		if err := w.start(n); err != nil {
			return err
		}
		if w.listens(n) {
			return nil
		}
		// Another process took one of the ports since they were found free.
		if !strings.Contains(n.process.Log(), "address already in use") {
			return errors.Errorf("%s does not start: %s", n.id, n.process.Log())
		}
	}
	return errors.Errorf("%s found no free ports", n.id)
}

const (
	// startTries bounds the ports that are tried for an instance.
	startTries = 5
	// startTime is how long an instance has until it listens.
	startTime = 10 * time.Second
)

// listens waits until an instance answers at its readiness address, and reports
// whether it does.
func (w *world) listens(n *node) bool {
	for end := time.Now().Add(startTime); time.Now().Before(end) && n.process.Running(); time.Sleep(10 * time.Millisecond) {
		if ready(n.readiness) {
			return true
		}
	}
	return false
}

// settle finds addresses for an instance and writes its settings.
func (w *world) settle(n *node) error {
	var err error
	for _, address := range []*string{&n.front, &n.readiness, &n.peer} {
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	n.settings = filepath.Join(w.dir, n.id+".ini")
	text := platformtest.Settings{
		ID: n.id, Zone: n.zone, Store: n.storeLink.Address(), Peer: n.peer, Listen: n.front, Readiness: n.readiness,
		MemberTTL: 2 * time.Second, Drain: 500 * time.Millisecond, RepeatExtra: 50,
	}.Text()
	return errors.Wrap(os.WriteFile(n.settings, []byte(text), 0o600), "settings")
}

// start starts an instance's process.
func (w *world) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, err := harness.Start(n.id, false, w.binaries.Instance, "--settings", n.settings)
	if err != nil {
		return err
	}
	n.process, n.down = p, false
	n.life++
	return nil
}

// running returns the instance's process and its life; nil while a fault keeps
// it down.
func (n *node) running() (*harness.Process, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nil, n.life
	}
	return n.process, n.life
}

// take marks the instance as down and returns its process, or nil if it is down
// already.
func (n *node) take() *harness.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nil
	}
	n.down = true
	return n.process
}

// close ends everything that the run started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.process.Signal(syscall.SIGCONT)
		n.process.Kill()
		n.storeLink.Close()
	}
	for _, s := range w.servers {
		s.link.Close()
		if s.backend != nil {
			s.backend.Close()
		} else {
			s.stage.Close()
		}
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir) // a directory of its own under the temporary ones
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "free address")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

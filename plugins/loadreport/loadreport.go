// Package loadreport brings the load reports of backend servers.
//
// Each server is asked by one instance of its availability zone, chosen by
// rendezvous hashing among the live ones, so that a server is asked once an
// interval however many instances there are. The instance shares what it heard
// with the others in digests. A report that fails to come is counted and has no
// other effect: no server is ejected by polls alone.
package loadreport

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "loadreport"

// Bounds of the polls.
const (
	maxParallel      = 64
	maxIdlePerServer = 1
	idleTimeout      = 30 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "loadreport",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "interval", Kind: config.Duration, Default: "500ms", Doc: "time between two load reports of a backend server; 0 asks for none"},
			{Section: section, Name: "timeout", Kind: config.Duration, Default: "300ms", Doc: "longest wait for a load report"},
		},
		New: func() kernel.Module { return &Module{heard: make(map[string]heard)} },
	})
}

// Module polls servers and shares their reports.
type Module struct {
	host     *kernel.Host
	client   *http.Client
	interval time.Duration
	slots    chan struct{} // bounds polls that run
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu     sync.Mutex
	heard  map[string]heard   // by server ID; guarded by mu
	busy   map[string]bool    // servers being asked; guarded by mu
	chunks [maxChunks][]byte  // digests to share; guarded by mu
	index  map[uint64]*target // servers of the tables in force; guarded by mu
	of     *kernel.Snapshot   // that index was made of; guarded by mu
}

// heard is the last report of a server that this instance asked.
type heard struct {
	report policy.LoadReport
	at     time.Time
}

// target is one server to ask.
type target struct {
	server *kernel.Server
	hash   uint64
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(h *kernel.Host) error {
	m.host = h
	m.interval = h.Settings.Duration(section, "interval")
	m.slots = make(chan struct{}, maxParallel)
	m.busy = make(map[string]bool)
	m.client = &http.Client{
		Timeout:   h.Settings.Duration(section, "timeout"),
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerServer, IdleConnTimeout: idleTimeout},
	}
	m.share()
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	if m.interval <= 0 {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.running.Go(func() { m.run(ctx) })
	return nil
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	if m.cancel != nil {
		m.cancel()
	}
	m.running.Wait()
	m.client.CloseIdleConnections()
	return nil
}

func (m *Module) run(ctx context.Context) {
	periodic.Run(ctx, m.interval, func(now time.Time) { m.round(ctx, now) })
}

// round asks all servers that fall to this instance and renews the digests.
func (m *Module) round(ctx context.Context, now time.Time) {
	var own []*target
	o := m.owners()
	for _, t := range m.targets() {
		if o.owner(t) == m.host.ID() {
			own = append(own, t)
		}
	}
	m.keep(own, now)
	for _, t := range own {
		if !m.begin(t) {
			continue
		}
		select {
		case m.slots <- struct{}{}:
		case <-ctx.Done():
			m.end(t)
			return
		}
		m.running.Go(func() {
			defer func() { <-m.slots }()
			defer m.end(t)
			m.poll(ctx, t)
		})
	}
}

// targets returns the servers of the tables in force by hash.
func (m *Module) targets() map[uint64]*target {
	m.mu.Lock()
	defer m.mu.Unlock()
	snap := m.host.Snapshot()
	if snap == nil || snap == m.of {
		return m.index
	}
	m.of = snap
	m.index = make(map[uint64]*target)
	for name := range snap.Tables.Pools {
		for _, s := range snap.Pool(name).Servers {
			hash := xxhash.Sum64String(s.ID + "\x00" + s.Config.Address)
			m.index[hash] = &target{server: s, hash: hash}
		}
	}
	return m.index
}

// begin notes that a server is asked, unless it is being asked already.
func (m *Module) begin(t *target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[t.server.ID] {
		return false
	}
	m.busy[t.server.ID] = true
	return true
}

func (m *Module) end(t *target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.busy, t.server.ID)
}

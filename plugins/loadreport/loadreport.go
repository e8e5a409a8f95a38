// Package loadreport polls backend servers for their load reports.
//
// Each server is polled by one instance of its availability zone, chosen by
// rendezvous hashing among the live ones, so that a server is polled once per
// interval regardless of the number of instances. The instance shares the reports
// with the others in gossip digests. A failed poll is counted and has no other
// effect: no server is ejected because of polls alone.
package loadreport

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/periodic"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "loadreport"

// Limits of the polls and their connections.
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
			{Section: section, Name: "interval", Kind: config.Duration, Default: "500ms", Doc: "time between two polls of a backend server for its load report; 0 disables polling"},
			{Section: section, Name: "timeout", Kind: config.Duration, Default: "300ms", Doc: "timeout of a poll for a load report"},
		},
		New: func() kernel.Module { return &Module{polledReports: make(map[string]polledReport)} },
	})
}

// Module polls backend servers and shares their load reports with other
// instances.
type Module struct {
	host      *kernel.Host
	client    *http.Client
	interval  time.Duration
	pollSlots chan struct{} // limits concurrent polls
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu              sync.Mutex
	polledReports   map[string]polledReport // by server ID; guarded by mu
	polling         map[string]bool         // servers with a poll in progress, by ID; guarded by mu
	digests         [maxDigests][]byte      // encoded digests to share; guarded by mu
	index           map[uint64]*target      // servers of indexedSnapshot by hash; guarded by mu
	indexedSnapshot *kernel.Snapshot        // snapshot that index was built from; guarded by mu
}

// polledReport is the last report of a server that this instance polls, and when
// it arrived.
type polledReport struct {
	report policy.LoadReport
	at     time.Time
}

// target is one server and the hash that identifies it in digests.
type target struct {
	server *kernel.Server
	hash   uint64
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(h *kernel.Host) error {
	m.host = h
	m.interval = h.Settings.Duration(section, "interval")
	m.pollSlots = make(chan struct{}, maxParallel)
	m.polling = make(map[string]bool)
	m.client = &http.Client{
		Timeout:   h.Settings.Duration(section, "timeout"),
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerServer, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: upstream.MaxHeadBytes},
	}
	m.registerDigests()
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
	periodic.Run(ctx, m.interval, func(now time.Time) { m.pollRound(ctx, now) })
}

// pollRound updates the digests and polls all servers assigned to this instance.
func (m *Module) pollRound(ctx context.Context, now time.Time) {
	var assigned []*target
	o := m.currentOwners()
	for _, t := range m.targets() {
		if o.owner(t) == m.host.ID() {
			assigned = append(assigned, t)
		}
	}
	m.updateDigests(assigned, now)
	for _, t := range assigned {
		if !m.beginPoll(t) {
			continue
		}
		select {
		case m.pollSlots <- struct{}{}:
		case <-ctx.Done():
			m.endPoll(t)
			return
		}
		m.running.Go(func() {
			defer func() { <-m.pollSlots }()
			defer m.endPoll(t)
			m.poll(ctx, t)
		})
	}
}

// targets returns the servers of the active tables by hash.
func (m *Module) targets() map[uint64]*target {
	m.mu.Lock()
	defer m.mu.Unlock()
	snap := m.host.Snapshot()
	if snap == nil || snap == m.indexedSnapshot {
		return m.index
	}
	m.indexedSnapshot = snap
	m.index = make(map[uint64]*target)
	for name := range snap.Tables.Pools {
		for _, s := range snap.Pool(name).Servers {
			hash := xxhash.Sum64String(s.ID + "\x00" + s.Config.Address)
			m.index[hash] = &target{server: s, hash: hash}
		}
	}
	return m.index
}

// beginPoll marks a server as being polled. It reports false if a poll of the
// server is already in progress.
func (m *Module) beginPoll(t *target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.polling[t.server.ID] {
		return false
	}
	m.polling[t.server.ID] = true
	return true
}

func (m *Module) endPoll(t *target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.polling, t.server.ID)
}

package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy/claim"
)

const section = "claims"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "claims.log",
		Phase: kernel.PhaseRequest,
		Settings: []config.Key{
			{Section: section, Name: "shards", Kind: config.Int, Default: "16", Doc: "number of claim streams on the log; must be the same on all instances"},
			{Section: section, Name: "window", Kind: config.Duration, Default: "10m", Doc: "maximum age of an idempotency key that may start a request; must be the same on all instances"},
			{Section: section, Name: "skew", Kind: config.Duration, Default: "30s", Doc: "how far the time of an idempotency key may be in the future; must be the same on all instances"},
			{Section: section, Name: "appends_per_second", Kind: config.Float, Default: "200", Doc: "maximum appends of claims per second, of all instances together"},
			{Section: section, Name: "max_answer", Kind: config.Size, Default: "16KiB", Doc: "maximum size of an answer that is stored for retries"},
			{Section: section, Name: "answer_memory", Kind: config.Size, Default: "32MiB", Doc: "memory for stored answers in this process; evicted ones are read from the log"},
			{Section: section, Name: "restate", Kind: config.Duration, Default: "10m", Doc: "time after which an unfinished claim is written to the log again; less than a third of the log's retention"},
		},
		New: func() kernel.Module { return &Log{} },
	})
}

// maxStoredAnswerBytes is the upper limit of the setting max_answer, so that an
// outcome fits into one log record.
const maxStoredAnswerBytes = 128 << 10

// appendBurst is the number of appends that the rate limiter of a shard lets
// through without a pause, so that the outcome of a short request need not wait
// after its claim.
const appendBurst = 2

// Log implements kernel.Claims and kernel.ClaimsOperator on the platform's log
// service. The order of the records decides which claim wins; see package
// policy/claim.
type Log struct {
	host      *kernel.Host
	rules     claim.Rules
	shardRate rate.Limit // appends per second of one shard
	restate   time.Duration
	maxAnswer int
	// answerMemory limits the memory for answers, in bytes.
	answerMemory int
	boot         string
	circuit      circuit
	shards       []*shardLog
	owners       ownerFailures
	abandoned    abandoned

	ctx         context.Context
	cancel      context.CancelFunc
	workers     sync.WaitGroup // goroutines of the shards and of maintenance
	inFlight    sync.WaitGroup // claims in progress and unconfirmed entries
	unconfirmed atomic.Int64   // entries that are being appended
	mu          sync.Mutex
	stopped     bool // guarded by mu
}

// Provision implements kernel.Provisioner.
func (m *Log) Provision(h *kernel.Host) error {
	s := h.Settings
	m.host = h
	m.rules = claim.Rules{
		Shards: s.Int(section, "shards"),
		Window: s.Duration(section, "window"),
		Skew:   s.Duration(section, "skew"),
	}
	m.restate = s.Duration(section, "restate")
	m.maxAnswer = int(s.Bytes(section, "max_answer"))
	m.answerMemory = int(s.Bytes(section, "answer_memory"))
	m.ctx, m.cancel = context.WithCancel(context.Background())
	if h.Peers != nil {
		h.Peers.Handle(methodAppend, m.serveAppend)
		h.Peers.Handle(methodRead, m.serveRead)
		h.Peers.Handle(methodUnfinished, m.serveUnfinished)
	}
	return m.validate()
}

// validate validates the settings and creates the shards.
func (m *Log) validate() error {
	appends := m.host.Settings.Float(section, "appends_per_second")
	switch {
	case m.rules.Shards < 1 || m.rules.Shards > 1024:
		return errors.New("[claims] shards: want 1 to 1024")
	case appends <= 0:
		return errors.New("[claims] appends_per_second: want more than 0")
	case m.rules.Window <= 0:
		return errors.New("[claims] window: want more than 0")
	case m.maxAnswer > maxStoredAnswerBytes:
		return errors.Errorf("[claims] max_answer: want at most %d bytes", maxStoredAnswerBytes)
	}
	share := appends / float64(m.rules.Shards)
	// The rate is lowered by the part of the burst that exceeds one append, so that
	// the burst does not add to the appends per second. For small shares the second
	// operand keeps the rate positive.
	m.shardRate = rate.Limit(max(share-appendBurst+1, share/appendBurst))
	for n := range m.rules.Shards {
		m.shards = append(m.shards, newShardLog(m, n))
	}
	return nil
}

// Start implements kernel.Starter.
func (m *Log) Start(context.Context) error {
	m.boot = uuid.NewString()
	if ms := m.host.Membership; ms != nil && ms.View() != nil {
		m.boot = ms.View().Self.Boot
	}
	for _, s := range m.shards {
		m.workers.Go(func() { s.run(m.ctx) })
	}
	m.workers.Go(func() { m.maintain(m.ctx) })
	return nil
}

// Stop implements kernel.Stopper. It waits until every entry of this instance is
// on the log or the context ends.
func (m *Log) Stop(ctx context.Context) error {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	confirmed := make(chan struct{})
	go func() {
		m.inFlight.Wait()
		close(confirmed)
	}()
	var err error
	select {
	case <-confirmed:
	case <-ctx.Done():
		err = errors.New("claims: stopped before all entries were on the log")
	}
	m.cancel()
	m.workers.Wait()
	return err
}

// begin adds one to inFlight and returns true, unless the module has stopped. The
// caller must call inFlight.Done when its claim or call has ended.
func (m *Log) begin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false
	}
	m.inFlight.Add(1)
	return true
}

// count increments a counter that has one label.
func (m *Log) count(name, label, value string) {
	m.host.Counter(name + `{` + label + `="` + value + `"}`).Inc(1)
}

// dump is the module's state for kernel.Dumper.
type dump struct {
	Shards    []shardDump `json:"shards"`
	Circuit   string      `json:"circuit"`
	Abandoned int         `json:"abandoned"`
}

// Dump implements kernel.Dumper.
func (m *Log) Dump() any {
	d := dump{Circuit: m.circuit.String(), Abandoned: m.abandoned.len()}
	for _, s := range m.shards {
		d.Shards = append(d.Shards, s.dump())
	}
	return d
}

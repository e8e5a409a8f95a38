package configsource

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
)

// Names of the settings section and of the log stream.
const (
	logSection = "config"
	stream     = "config"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "configsource.log",
		Phase: kernel.PhaseConfig,
		Settings: []config.Key{
			{Section: logSection, Name: "restate_every", Kind: config.Duration, Default: "10m", Doc: "longest time between two restatements (snapshots) of the tables on the log; at most half of the log's retention time"},
			{Section: logSection, Name: "restate_edits", Kind: config.Int, Default: "256", Doc: "number of records since the last restatement after which another is due at once"},
			{Section: logSection, Name: "edit_timeout", Kind: config.Duration, Default: "3s", Doc: "longest wait for the result of an edit"},
			{Section: logSection, Name: "peer_patience", Kind: config.Duration, Default: "1s", Doc: "time for which an instance may have older tables than another instance before it fetches them from there"},
		},
		New: func() kernel.Module { return &Log{} },
	})
}

// Log implements kernel.ConfigSource. It reads the tables from the stream
// "config" of the log service, and from other instances while the log is
// unreachable or lags.
type Log struct {
	host     *kernel.Host
	logger   *slog.Logger
	stop     context.CancelFunc
	routines sync.WaitGroup

	mu       sync.Mutex
	follower *config.Follower // guarded by mu
	waiters  map[*waiter]bool // edits whose result is not known yet; guarded by mu
	status   logStatus        // guarded by mu
}

// logStatus is the state of the log as of the last read.
type logStatus struct {
	Reachable bool `json:"reachable"`
	// First and Next bound the offsets of the stream: Next is exclusive.
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
	// Restated is the time at which the last complete restatement was appended, or
	// the module's start time if none was read since. Covers is the offset of the
	// last record that the restatement includes.
	Restated time.Time `json:"restated"`
	Covers   uint64    `json:"covers"`
}

// Provision implements kernel.Provisioner.
func (l *Log) Provision(h *kernel.Host) error {
	l.host = h
	l.logger = h.Logger.With("module", "configsource.log")
	l.follower = config.NewFollower()
	l.waiters = make(map[*waiter]bool)
	l.status.Reachable = true
	if h.Peers != nil {
		h.Peers.Handle(fetchMethod, l.serveFetch)
	}
	return nil
}

// Validate implements kernel.Validator.
func (l *Log) Validate() error {
	if l.host.Log == nil {
		return errors.New("configsource.log needs the module platformlog")
	}
	for _, key := range []string{"restate_every", "edit_timeout", "peer_patience"} {
		if l.host.Settings.Duration(logSection, key) <= 0 {
			return errors.Errorf("[%s] %s: want more than 0", logSection, key)
		}
	}
	return nil
}

// Start implements kernel.Starter. It does not wait for tables. The instance is
// not ready before it has some.
func (l *Log) Start(ctx context.Context) error {
	ctx, l.stop = context.WithCancel(ctx)
	l.status.Restated = time.Now()
	l.routines.Go(func() { l.follow(ctx) })
	l.routines.Go(func() { l.restateLoop(ctx) })
	l.routines.Go(func() { l.fetchLoop(ctx) })
	return nil
}

// Stop implements kernel.Stopper.
func (l *Log) Stop(context.Context) error {
	l.stop()
	l.routines.Wait()
	return nil
}

// state returns the newest state, or nil if none is known.
func (l *Log) state() *config.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.follower.State()
}

// logDump is the dumped state of the module.
type logDump struct {
	Log       logStatus `json:"log"`
	Offset    uint64    `json:"offset"`
	Revision  uint64    `json:"revision"`
	Gathering bool      `json:"gathering"`
	Waiting   int       `json:"waiting_edits"`
}

// Dump implements kernel.Dumper.
func (l *Log) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := logDump{Log: l.status, Gathering: l.follower.Gathering(), Waiting: len(l.waiters)}
	if s := l.follower.State(); s != nil {
		d.Offset, d.Revision = s.Offset, s.Tables.Revision
	}
	return d
}

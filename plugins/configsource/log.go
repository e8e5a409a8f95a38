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

// The section of the settings and the stream of the log service.
const (
	logSection = "config"
	stream     = "config"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "configsource.log",
		Phase: kernel.PhaseConfig,
		Settings: []config.Key{
			{Section: logSection, Name: "restate_every", Kind: config.Duration, Default: "10m", Doc: "longest time between two restatements of the tables on the log; at most half of the time that the log keeps records"},
			{Section: logSection, Name: "restate_edits", Kind: config.Int, Default: "256", Doc: "number of records after which the tables are restated"},
			{Section: logSection, Name: "edit_timeout", Kind: config.Duration, Default: "3s", Doc: "longest wait for the verdict on an edit"},
			{Section: logSection, Name: "peer_patience", Kind: config.Duration, Default: "1s", Doc: "time that the log may lag behind another instance before the tables are fetched from there"},
		},
		New: func() kernel.Module { return &Log{} },
	})
}

// Log implements kernel.ConfigSource with the stream "config" of the log
// service, and with the other instances while the log is out of reach.
type Log struct {
	host     *kernel.Host
	logger   *slog.Logger
	stop     context.CancelFunc
	routines sync.WaitGroup

	mu       sync.Mutex
	follower *config.Follower // guarded by mu
	waiters  map[*waiter]bool // guarded by mu
	view     logView          // guarded by mu
}

// logView is what the reader knows of the log.
type logView struct {
	Reachable bool `json:"reachable"`
	// First and Next are the stream's bounds at the last read.
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
	// Restated is when the last whole restatement was appended, and Covers the
	// offset that it covers.
	Restated time.Time `json:"restated"`
	Covers   uint64    `json:"covers"`
}

// Provision implements kernel.Provisioner.
func (l *Log) Provision(h *kernel.Host) error {
	l.host = h
	l.logger = h.Logger.With("module", "configsource.log")
	l.follower = config.NewFollower()
	l.waiters = make(map[*waiter]bool)
	l.view.Reachable = true
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

// Start implements kernel.Starter. It does not wait for tables: the instance
// is not ready before it has some.
func (l *Log) Start(ctx context.Context) error {
	ctx, l.stop = context.WithCancel(ctx)
	l.view.Restated = time.Now()
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

// logDump is the module's state as dumped.
type logDump struct {
	Log       logView `json:"log"`
	Offset    uint64  `json:"offset"`
	Revision  uint64  `json:"revision"`
	Gathering bool    `json:"gathering"`
	Waiting   int     `json:"waiting_edits"`
}

// Dump implements kernel.Dumper.
func (l *Log) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := logDump{Log: l.view, Gathering: l.follower.Gathering(), Waiting: len(l.waiters)}
	if s := l.follower.State(); s != nil {
		d.Offset, d.Revision = s.Offset, s.Tables.Revision
	}
	return d
}

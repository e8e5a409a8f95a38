package discovery

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/platform"
)

const (
	// readWait is how long the store may hold a read that finds nothing. It is
	// short against the bounds on configuration, since a read that arrives
	// together with a record may not be told of it.
	readWait = 700 * time.Millisecond
	// readSlackMin is what an answer may take beyond the wait: other instances
	// of the zone rest on this one and must learn soon that it hears nothing. A
	// store that is slow gets more with every failure, readSlackMax at most.
	readSlackMin = 600 * time.Millisecond
	readSlackMax = 3 * time.Second
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

// watch follows one keyed topic: first the newest record of each key, then
// every record behind it.
type watch struct {
	client *platform.StoreClient
	logger *slog.Logger
	topic  string
	// pace is the least time between two reads, which bounds the calls while
	// records come one by one.
	pace time.Duration
	// apply takes records in the order of the topic. A whole listing names all
	// keys: what it lacks is gone.
	apply func(now time.Time, records []platform.StoreRecord, whole bool)
	// lost and regained tell that the store is out of reach and back.
	lost, regained func(now time.Time, err error)
	// renewals ends the reads that wait at the store.
	renewals *renewals

	next     uint64
	position atomic.Uint64 // next, for other goroutines
	listed   bool
	direct   bool // the last step read the store
	slack    time.Duration
	// away reports that the store does not answer the fleet's heartbeat. Every
	// call is paid for, so only the heartbeat tries until it does.
	away func() bool
	// peer reads from the zone's reader, and reports whether it could. standsIn
	// reports whether another instance is the reader, so that a read of the store
	// serves this one alone.
	peer     func(ctx context.Context, topic string, from uint64) ([]platform.StoreRecord, bool)
	standsIn func() bool
	history  history
}

// run follows the topic until the context ends.
func (w *watch) run(ctx context.Context) {
	pause := backoff.Backoff{Min: retryMin, Max: retryMax}
	failing := false
	for ctx.Err() == nil {
		start := time.Now()
		reading, renewed := w.renewals.context(ctx)
		err := w.step(reading)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && renewed():
			continue // the read was given up so that it is made anew
		case errors.Is(err, platform.ErrTrimmed):
			w.logger.Info("records were trimmed, listing anew", "topic", w.topic, "from", w.next)
			w.listed = false
		case err != nil:
			if !failing {
				w.lost(time.Now(), err)
			}
			failing = true
			pause.Wait(ctx)
			continue
		}
		if failing {
			failing = false
			w.regained(time.Now(), nil)
		}
		pause.Reset()
		pace := w.pace
		if w.direct && w.standsIn != nil && w.standsIn() {
			pace = max(pace, standInPace)
		}
		backoff.Sleep(ctx, pace-time.Since(start))
	}
}

// renewals lets the reads that wait at the store be made anew: after the store
// was away, nobody knows whether a read that it held is still answered.
type renewals struct {
	mu     sync.Mutex
	ctx    context.Context    // guarded by mu
	cancel context.CancelFunc // guarded by mu
}

// context returns a context for a read that ends with the parent or with the
// next renewal, and a function that reports whether it was renewed.
func (r *renewals) context(parent context.Context) (context.Context, func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx == nil || r.ctx.Err() != nil {
		r.ctx, r.cancel = context.WithCancel(parent)
	}
	ctx := r.ctx
	return ctx, func() bool { return ctx.Err() != nil && parent.Err() == nil }
}

// renew ends all reads in progress.
func (r *renewals) renew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
}

// errAway says that the store was not called.
var errAway = errors.Wrap(platform.ErrStoreUnavailable, "no answer to the heartbeat")

// step makes one call of the zone's reader or of the store.
func (w *watch) step(ctx context.Context) error {
	if !w.listed {
		if w.away() {
			return errAway
		}
		return w.list(ctx)
	}
	if w.peer != nil {
		if records, ok := w.peer(ctx, w.topic, w.next); ok {
			w.history.setDirect(false)
			w.direct = false
			w.take(records)
			return nil
		}
	}
	if w.away() {
		w.history.setDirect(false)
		return errAway
	}
	w.slack = min(max(w.slack, readSlackMin), readSlackMax)
	records, _, err := w.client.Read(ctx, w.topic, w.next, readWait, w.slack)
	w.history.setDirect(err == nil)
	w.direct = true
	if err != nil {
		w.slack *= 2
		return err
	}
	w.slack = 0
	w.take(records)
	return nil
}

// list reads the newest record of every key. A listing that ends before what
// was read already is a view of the past, which the store gives while it
// recovers.
func (w *watch) list(ctx context.Context) error {
	records, end, err := w.client.Newest(ctx, w.topic)
	if err != nil {
		return err
	}
	if end < w.next {
		return errors.Wrapf(platform.ErrStoreUnavailable, "listing of %s ends at %d, %d was read before", w.topic, end, w.next)
	}
	w.listed = true
	w.apply(time.Now(), records, true)
	w.history.reset(end)
	w.moveTo(end)
	return nil
}

// take applies the records that follow.
func (w *watch) take(records []platform.StoreRecord) {
	if len(records) == 0 {
		return
	}
	w.apply(time.Now(), records, false)
	w.history.add(records)
	w.moveTo(w.next + uint64(len(records)))
}

// moveTo notes how far the topic was read.
func (w *watch) moveTo(next uint64) {
	w.next = next
	w.position.Store(next)
}

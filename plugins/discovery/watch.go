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
	// readWaitMin and readWaitMax bound how long the store may hold a read that
	// finds nothing. Every read is a call that is paid for, so the wait doubles
	// while nothing changes. It begins short, since a read that arrives together
	// with a record may not be told of it. Whether the store still answers is
	// seen by the heartbeat of the fleet, which costs less.
	readWaitMin = 400 * time.Millisecond
	readWaitMax = 6 * time.Second
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
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
	wait     time.Duration
	listed   bool
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
		backoff.Sleep(ctx, w.pace-time.Since(start))
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

// step makes one call of the store.
func (w *watch) step(ctx context.Context) error {
	if !w.listed {
		return w.list(ctx)
	}
	w.wait = min(max(2*w.wait, readWaitMin), readWaitMax)
	records, next, err := w.client.Read(ctx, w.topic, w.next, w.wait)
	if err != nil {
		w.wait = 0
		return err
	}
	if len(records) > 0 {
		w.wait = 0
		w.apply(time.Now(), records, false)
	}
	w.moveTo(next)
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
	w.moveTo(end)
	return nil
}

// moveTo notes how far the topic was read.
func (w *watch) moveTo(next uint64) {
	w.next = next
	w.position.Store(next)
}

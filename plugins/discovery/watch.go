package discovery

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/platform"
)

const (
	// readWait is how long the store may hold a read that finds nothing. It is
	// short against the bounds on configuration, since a cut that swallows
	// answers shows only when a read is overdue.
	readWait = 2 * time.Second
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

	next   uint64
	listed bool
}

// run follows the topic until the context ends.
func (w *watch) run(ctx context.Context) {
	pause := backoff.Backoff{Min: retryMin, Max: retryMax}
	failing := false
	for ctx.Err() == nil {
		start := time.Now()
		err := w.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
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

// step makes one call of the store.
func (w *watch) step(ctx context.Context) error {
	if !w.listed {
		return w.list(ctx)
	}
	records, next, err := w.client.Read(ctx, w.topic, w.next, readWait)
	if err != nil {
		return err
	}
	w.next = next
	if len(records) > 0 {
		w.apply(time.Now(), records, false)
	}
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
	w.next, w.listed = end, true
	w.apply(time.Now(), records, true)
	return nil
}

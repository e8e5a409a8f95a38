package discovery

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/platform"
)

const (
	// readWait is the usual time for which the store may hold a read. It is
	// short compared with the time limits for configuration changes, since the
	// store sometimes fails to wake a read that arrives together with a record.
	readWait = 700 * time.Millisecond
	// readSlackMin is the time allowed for a response beyond readWait. It is short
	// because other instances of the zone rely on this one and must find out soon
	// when its reads fail. Each failure doubles it, up to readSlackMax, in case the
	// store is slow.
	readSlackMin = 600 * time.Millisecond
	readSlackMax = 3 * time.Second
	// retryMin and retryMax bound the backoff after a failed call.
	retryMin = 100 * time.Millisecond
	retryMax = 500 * time.Millisecond
)

// restoreSettleTime is the time after a restore of the store in which operators and servers
// write again what the store has forgotten. Until then a missing record means nothing.
const restoreSettleTime = 3 * time.Second

// recordsKind tells what the records of a topic are.
type recordsKind int

const (
	// newRecords follow those that were applied before.
	newRecords recordsKind = iota
	// fullListing holds the newest record of every key: keys that it lacks no longer exist.
	fullListing
	// restoredListing is the first listing after the store was restored from an older copy:
	// what is known may be newer, and keys that it lacks may be written again.
	restoredListing
)

// watch follows one keyed topic: it lists the newest record of each key, and then
// reads every later record.
type watch struct {
	client *platform.StoreClient
	logger *slog.Logger
	topic  string
	// minInterval is the minimum time between two reads. It limits the call rate
	// while records arrive one by one.
	minInterval time.Duration
	// wait is how long the store may hold a read that finds no records.
	wait time.Duration
	// apply receives records in the order of the topic, or a listing.
	apply func(now time.Time, records []platform.StoreRecord, kind recordsKind)
	// onUnavailable is called at the first of a series of failures, onAvailable at
	// the first success after it.
	onUnavailable, onAvailable func(now time.Time, err error)
	// pending is the read in progress.
	pending pendingRead

	era      atomic.Uint64 // era of the store in which the topic was listed
	relistAt time.Time     // when to list the topic again; zero if it need not be
	next     uint64        // offset of the next record to read
	position atomic.Uint64 // next, for other goroutines
	listed   bool          // the topic was listed, so that reads can continue from next
	direct   bool          // the last step read the store
	slack    time.Duration // time allowed for the next response beyond readWait; 0 means readSlackMin
	// storeUnresponsive reports whether the last fleet heartbeat failed. Every call
	// to the store has a cost, so only the heartbeat retries until it succeeds.
	storeUnresponsive func() bool
	// readPeer reads from the zone's reader and reports whether that succeeded.
	// readerIsRemote reports whether another instance is the reader, so that a read
	// of the store serves this instance alone. Both are nil for a topic that every
	// instance reads from the store.
	readPeer       func(ctx context.Context, topic string, from, era uint64) ([]platform.StoreRecord, bool)
	readerIsRemote func() bool
	// mayReadStore reports whether this instance may read the store itself if readPeer
	// did not succeed.
	mayReadStore func(now time.Time) bool
	history      history
}

// run follows the topic until the context ends.
func (w *watch) run(ctx context.Context) {
	pause := backoff.Backoff{Min: retryMin, Max: retryMax}
	failing := false
	for ctx.Err() == nil {
		start := time.Now()
		w.checkPosition(start)
		readCtx, interrupted := w.pending.begin(ctx)
		err := w.step(readCtx)
		w.pending.end()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && interrupted():
			continue // the read was interrupted to be restarted
		case errors.Is(err, errReadersCutOff):
			backoff.Sleep(ctx, refusingReaderAvoidTime/2)
			continue
		case errors.Is(err, platform.ErrStoreRestored):
			pause.Wait(ctx)
			continue // the topic is listed again
		case errors.Is(err, platform.ErrTrimmed):
			w.logger.Info("records were trimmed, listing the topic again", "topic", w.topic, "from", w.next)
			w.listed = false
		case err != nil:
			if !failing {
				w.onUnavailable(time.Now(), err)
			}
			failing = true
			pause.Wait(ctx)
			continue
		}
		if failing {
			failing = false
			w.onAvailable(time.Now(), nil)
		}
		pause.Reset()
		interval := w.minInterval
		if w.direct && w.readerIsRemote != nil && w.readerIsRemote() {
			interval = max(interval, fallbackReadInterval)
		}
		backoff.Sleep(ctx, interval-time.Since(start))
	}
}

// checkPosition drops the position if it is of an earlier era of the store, and has the
// topic listed again when that is due.
func (w *watch) checkPosition(now time.Time) {
	if era := w.era.Load(); era > 0 && era != w.client.Era() {
		w.history.setDirect(false)
		w.listed = false
		w.setPosition(0)
		w.relistAt = now.Add(restoreSettleTime)
	}
	if w.listed && !w.relistAt.IsZero() && now.After(w.relistAt) {
		w.listed, w.relistAt = false, time.Time{}
	}
}

// errStoreUnresponsive means that the store was not called because it does not
// answer the heartbeat.
var errStoreUnresponsive = errors.Wrap(platform.ErrStoreUnavailable, "store not called: last heartbeat failed")

// errReadersCutOff means that the store was not called because the readers of the zone do
// not reach it.
var errReadersCutOff = errors.New("store not called: the zone's readers do not reach it")

// step makes one listing or one read. It reads from the zone's reader if possible
// and otherwise from the store.
func (w *watch) step(ctx context.Context) error {
	if !w.listed {
		if w.storeUnresponsive() {
			return errStoreUnresponsive
		}
		return w.list(ctx)
	}
	if w.readPeer != nil {
		if records, ok := w.readPeer(w.pending.call(ctx), w.topic, w.next, w.era.Load()); ok {
			if w.client.Era() != w.era.Load() {
				return platform.ErrStoreRestored
			}
			w.history.setDirect(false)
			w.direct = false
			w.applyNext(records)
			return nil
		}
		if !w.mayReadStore(time.Now()) {
			w.history.setDirect(false)
			return errReadersCutOff
		}
	}
	if w.storeUnresponsive() {
		w.history.setDirect(false)
		return errStoreUnresponsive
	}
	w.slack = min(max(w.slack, readSlackMin), readSlackMax)
	wait := w.wait
	if !w.history.isDirect() {
		// Until a read succeeds, other instances cannot rely on this one.
		wait = 0
	}
	records, _, err := w.client.Read(w.pending.call(ctx), w.topic, w.next, wait, w.slack)
	w.direct = true
	if err != nil && ctx.Err() != nil {
		return err // interrupted: nothing is known of the store
	}
	if err == nil && w.client.Era() != w.era.Load() {
		err = platform.ErrStoreRestored
	}
	w.history.setDirect(err == nil)
	if err != nil {
		w.slack *= 2
		return err
	}
	w.slack = 0
	w.applyNext(records)
	return nil
}

// list reads the newest record of every key. It rejects a listing that ends
// before the current position: such a listing is stale, and the store returns it
// while it recovers.
func (w *watch) list(ctx context.Context) error {
	known, before := w.client.Era(), w.era.Load()
	records, end, err := w.client.Newest(w.pending.call(ctx), w.topic)
	if err != nil {
		return err
	}
	era := w.client.Era()
	if known > 0 && era != known {
		return platform.ErrStoreRestored
	}
	kind := fullListing
	if before > 0 && era != before {
		kind = restoredListing
	}
	if end < w.next {
		return errors.Wrapf(platform.ErrStoreUnavailable, "stale listing of %s: ends at offset %d, already read up to %d", w.topic, end, w.next)
	}
	w.listed = true
	w.apply(time.Now(), records, kind)
	w.era.Store(era)
	w.history.reset(end)
	w.setPosition(end)
	return nil
}

// applyNext applies records that directly follow the current position.
func (w *watch) applyNext(records []platform.StoreRecord) {
	if len(records) == 0 {
		return
	}
	w.apply(time.Now(), records, newRecords)
	w.history.add(records)
	w.setPosition(w.next + uint64(len(records)))
}

// setPosition sets the offset of the next record to read.
func (w *watch) setPosition(next uint64) {
	w.next = next
	w.position.Store(next)
}

package configsource

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
)

// readBackTimeout bounds the wait until a record whose append got no response is
// read back. After the timeout the record is appended again.
const readBackTimeout = 500 * time.Millisecond

// ErrLogLost is returned when the log assigns an offset that was read before,
// which shows that the log lost its records.
var ErrLogLost = errors.New("the log service lost its records, all instances have to be started anew")

// waiter waits for the result of an edit.
type waiter struct {
	edit   config.Edit
	result chan config.EditResult
}

func (w *waiter) deliver(r config.EditResult) { w.result <- r }

// Edit implements kernel.ConfigSource. It appends the edit to the log and takes
// the result from the records read back. Appending an edit again is safe, since
// an edit with the same ID takes effect once.
func (l *Log) Edit(ctx context.Context, e config.Edit) (config.EditResult, error) {
	record, err := encodeEdit(e)
	if err != nil {
		return config.EditResult{Status: config.EditInvalid, Problem: err.Error()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.host.Settings.Duration(logSection, "edit_timeout"))
	defer cancel()
	w := l.addWaiter(e)
	defer l.removeWaiter(w)
	retry := backoff.Backoff{Min: retryMin, Max: retryMax}
	unsettled := &config.UnsettledError{ID: e.ID}
	for {
		if result, ok := w.poll(); ok {
			return result, nil
		}
		known := l.offset()
		offset, err := l.host.Log.Append(ctx, stream, record)
		wait := retry.Next()
		switch {
		case err == nil && offset <= known:
			unsettled.Sent, unsettled.Cause = true, ErrLogLost
			return config.EditResult{}, unsettled
		case err == nil:
			unsettled.Sent = true
			wait = l.host.Settings.Duration(logSection, "edit_timeout")
		case !errors.Is(err, kernel.ErrLogUnavailable):
			unsettled.Sent = true
			wait = readBackTimeout
		}
		if err != nil {
			unsettled.Cause = err
		}
		if result, ok := w.await(ctx, wait); ok {
			return result, nil
		}
		if ctx.Err() != nil {
			return config.EditResult{}, unsettled
		}
	}
}

// encodeEdit encodes the record of an edit. It fails if readers could not decode
// the record.
func encodeEdit(e config.Edit) ([]byte, error) {
	record, err := config.EncodeRecord(config.Record{Edit: &e})
	if err != nil {
		return nil, err
	}
	_, err = config.DecodeRecord(record)
	return record, err
}

// addWaiter returns a waiter for the result of an edit. The waiter already has
// the result if the edit was decided before.
func (l *Log) addWaiter(e config.Edit) *waiter {
	w := &waiter{edit: e, result: make(chan config.EditResult, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.follower.State(); s != nil {
		if result, ok := s.Find(e); ok {
			w.deliver(result)
			return w
		}
	}
	l.waiters[w] = true
	return w
}

// offset returns the offset of the newest record in the state, or 0.
func (l *Log) offset() uint64 {
	if s := l.state(); s != nil {
		return s.Offset
	}
	return 0
}

func (l *Log) removeWaiter(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, w)
}

func (w *waiter) poll() (config.EditResult, bool) {
	select {
	case r := <-w.result:
		return r, true
	default:
		return config.EditResult{}, false
	}
}

// await waits for the result until the timeout or the end of the context.
func (w *waiter) await(ctx context.Context, timeout time.Duration) (config.EditResult, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-w.result:
		return r, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return w.poll()
}

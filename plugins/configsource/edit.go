package configsource

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
)

// settleWait is the time that a record whose append has no answer may take to
// be read back before it is appended again.
const settleWait = 500 * time.Millisecond

// ErrLogLost says that the log gave out an offset that it had given out before.
var ErrLogLost = errors.New("the log service lost its records, all instances have to be started anew")

// waiter waits for the verdict on an edit.
type waiter struct {
	edit    config.Edit
	verdict chan config.EditResult
}

func (w *waiter) tell(r config.EditResult) { w.verdict <- r }

// Edit implements kernel.ConfigSource. The verdict is the one that the records
// of the log give, read back. Appending an edit again is safe, since the same
// ID is the same edit.
func (l *Log) Edit(ctx context.Context, e config.Edit) (config.EditResult, error) {
	record, err := encodeEdit(e)
	if err != nil {
		return config.EditResult{Status: config.EditInvalid, Problem: err.Error()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.host.Settings.Duration(logSection, "edit_timeout"))
	defer cancel()
	w := l.wait(e)
	defer l.forget(w)
	retry := backoff.Backoff{Min: retryMin, Max: retryMax}
	unsettled := &config.UnsettledError{ID: e.ID}
	for {
		if result, ok := w.poll(); ok {
			return result, nil
		}
		known := l.offset()
		offset, err := l.host.Log.Append(ctx, stream, record)
		pause := retry.Next()
		switch {
		case err == nil && offset <= known:
			unsettled.Sent, unsettled.Cause = true, ErrLogLost
			return config.EditResult{}, unsettled
		case err == nil:
			unsettled.Sent = true
			pause = l.host.Settings.Duration(logSection, "edit_timeout")
		case !errors.Is(err, kernel.ErrLogUnavailable):
			unsettled.Sent = true
			pause = settleWait
		}
		if err != nil {
			unsettled.Cause = err
		}
		if result, ok := w.await(ctx, pause); ok {
			return result, nil
		}
		if ctx.Err() != nil {
			return config.EditResult{}, unsettled
		}
	}
}

// encodeEdit returns the record of an edit that every reader can decode.
func encodeEdit(e config.Edit) ([]byte, error) {
	record, err := config.EncodeRecord(config.Record{Edit: &e})
	if err != nil {
		return nil, err
	}
	_, err = config.DecodeRecord(record)
	return record, err
}

// wait registers interest in the verdict on an edit.
func (l *Log) wait(e config.Edit) *waiter {
	w := &waiter{edit: e, verdict: make(chan config.EditResult, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.follower.State(); s != nil {
		if result, ok := s.Find(e); ok {
			w.tell(result)
			return w
		}
	}
	l.waiters[w] = true
	return w
}

// offset is the offset of the newest record known.
func (l *Log) offset() uint64 {
	if s := l.state(); s != nil {
		return s.Offset
	}
	return 0
}

func (l *Log) forget(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, w)
}

func (w *waiter) poll() (config.EditResult, bool) {
	select {
	case r := <-w.verdict:
		return r, true
	default:
		return config.EditResult{}, false
	}
}

// await waits for the verdict, for a time at most.
func (w *waiter) await(ctx context.Context, longest time.Duration) (config.EditResult, bool) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case r := <-w.verdict:
		return r, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return w.poll()
}

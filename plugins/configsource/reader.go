package configsource

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
)

const (
	readWait = 10 * time.Second // long poll of the log
	retryMin = 100 * time.Millisecond
	retryMax = 2 * time.Second
)

// follow reads the stream until the context ends. It backs off while reads fail
// or make no progress.
func (l *Log) follow(ctx context.Context) {
	retry := backoff.Backoff{Min: retryMin, Max: retryMax}
	for ctx.Err() == nil {
		l.mu.Lock()
		from := l.follower.Next()
		l.mu.Unlock()
		batch, err := l.host.Log.Read(ctx, stream, from, readWait)
		if ctx.Err() != nil {
			return
		}
		if err == nil && l.applyBatch(from, batch) {
			retry.Reset()
			continue
		}
		l.setReachable(err == nil, err)
		retry.Wait(ctx)
	}
}

// applyBatch consumes the records of a read. It returns false if the read had
// records but none could be consumed.
func (l *Log) applyBatch(from uint64, batch kernel.LogBatch) bool {
	l.setReachable(true, nil)
	records := make([]config.StreamRecord, len(batch.Records))
	times := make(map[uint64]time.Time, len(batch.Records))
	for i, r := range batch.Records {
		records[i] = config.StreamRecord{Offset: r.Offset, Data: r.Data}
		times[r.Offset] = r.Time
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if batch.First > from {
		l.host.Counter("config_records_missed").Inc(int64(batch.First - from))
		l.logger.Warn("log dropped records before they were read; waiting for a restatement", "from", from, "first", batch.First)
	}
	if batch.Next < from {
		l.host.Counter("config_log_behind").Inc(1)
	}
	l.status.First, l.status.Next = batch.First, batch.Next
	for _, effect := range l.follower.Consume(batch.First, records) {
		l.reportEffect(effect, times[effect.Offset])
	}
	l.publish()
	return len(records) == 0 || l.follower.Next() > from
}

// reportEffect logs and counts the effect of one record. The caller holds mu.
func (l *Log) reportEffect(effect config.RecordEffect, at time.Time) {
	switch {
	case effect.Problem != "":
		l.host.Counter("config_records_faulty").Inc(1)
		l.logger.Error("ignoring faulty config record", "offset", effect.Offset, "problem", effect.Problem)
	case effect.Restated > 0:
		l.status.Covers = effect.Restated
		if !at.IsZero() {
			l.status.Restated = at
		}
	case effect.Edit != nil:
		l.host.Counter(`config_edits{status="` + string(effect.Result.Status) + `"}`).Inc(1)
		l.logger.Info("config edit decided", "section", effect.Edit.Section, "operator", effect.Edit.Operator,
			"status", string(effect.Result.Status), "revision", effect.Result.Revision)
	}
}

// publish activates the newest tables and delivers results to waiters. The caller
// holds mu.
func (l *Log) publish() {
	s := l.follower.State()
	if s == nil {
		return
	}
	l.host.Gauge("config_offset").Update(int64(s.Offset))
	if s.Tables.Revision > 0 {
		l.host.SetTables(s.Tables)
	}
	for w := range l.waiters {
		if result, ok := s.Find(w.edit); ok {
			w.deliver(result)
			delete(l.waiters, w)
		}
	}
}

// setReachable records whether the log responds, and logs a change.
func (l *Log) setReachable(reachable bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.status.Reachable == reachable {
		return
	}
	l.status.Reachable = reachable
	if reachable {
		l.logger.Info("log service responds again")
		return
	}
	l.host.Counter("config_log_outages").Inc(1)
	l.logger.Warn("log service does not respond; retrying", "error", err)
}

package configsource

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
)

// Times of the reader.
const (
	readWait = 10 * time.Second
	retryMin = 100 * time.Millisecond
	retryMax = 2 * time.Second
)

// follow reads the stream until the context ends.
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
		if err == nil && l.take(from, batch) {
			retry.Reset()
			continue
		}
		l.setReachable(err == nil, err)
		retry.Wait(ctx)
	}
}

// take folds a batch. It reports whether reading makes progress.
func (l *Log) take(from uint64, batch kernel.LogBatch) bool {
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
		l.logger.Warn("the log dropped records before they were read", "from", from, "first", batch.First)
	}
	if batch.Next < from {
		l.host.Counter("config_log_behind").Inc(1)
	}
	l.view.First, l.view.Next = batch.First, batch.Next
	for _, step := range l.follower.Take(batch.First, records) {
		l.note(step, times[step.Offset])
	}
	l.publish()
	return len(records) == 0 || l.follower.Next() > from
}

// note records what one record did. The caller holds mu.
func (l *Log) note(step config.Step, at time.Time) {
	switch {
	case step.Problem != "":
		l.host.Counter("config_records_faulty").Inc(1)
		l.logger.Error("faulty record", "offset", step.Offset, "problem", step.Problem)
	case step.Restated > 0:
		l.view.Covers = step.Restated
		if !at.IsZero() {
			l.view.Restated = at
		}
	case step.Edit != nil:
		l.host.Counter(`config_edits{status="` + string(step.Result.Status) + `"}`).Inc(1)
		l.logger.Info("edit decided", "section", step.Edit.Section, "operator", step.Edit.Operator,
			"status", string(step.Result.Status), "revision", step.Result.Revision)
	}
}

// publish puts the newest tables in force and tells those who wait for a
// verdict. The caller holds mu.
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
			w.tell(result)
			delete(l.waiters, w)
		}
	}
}

// setReachable notes whether the log answers, and logs a change.
func (l *Log) setReachable(reachable bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view.Reachable == reachable {
		return
	}
	l.view.Reachable = reachable
	if reachable {
		l.logger.Info("the log answers again")
		return
	}
	l.host.Counter("config_log_outages").Inc(1)
	l.logger.Warn("the log does not answer", "error", err)
}

package configsource

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/savoryfold/savoryfold/config"
)

const (
	restateCheckInterval = 500 * time.Millisecond
	// restateMinInterval is the minimum time between two attempts of an instance.
	restateMinInterval = 2 * time.Second
	// rankDelay is how much longer each instance waits than the one ranked before
	// it until it appends an urgent restatement.
	rankDelay = 3 * time.Second
)

// restateRankKey is the key by which instances are ranked for restatements.
const restateRankKey = "config/restate"

// restateLoop appends a restatement of the tables whenever one is due and it is
// this instance's turn.
func (l *Log) restateLoop(ctx context.Context) {
	ticker := time.NewTicker(restateCheckInterval)
	defer ticker.Stop()
	var urgentSince, lastAttempt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s, status, ok := l.restatableState()
			if !ok || now.Sub(lastAttempt) < restateMinInterval {
				continue
			}
			if !l.urgent(s, status) {
				urgentSince = time.Time{}
			} else if urgentSince.IsZero() {
				urgentSince = now
			}
			if l.isTurn(now, status, urgentSince) {
				lastAttempt = now
				l.restate(ctx, s)
			}
		}
	}
}

// restatableState returns the state and the log's status. The last result is true
// if the state includes every record of the log, so that it may be restated.
func (l *Log) restatableState() (*config.State, logStatus, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.follower.State()
	ok := s != nil && s.Offset > 0 && !l.follower.Gathering() && l.status.Reachable && s.Offset+1 == l.status.Next
	return s, l.status, ok
}

// urgent reports whether a restatement is due however recent the last one is:
// restate_edits records followed the last one, or the log has dropped records
// after the offset that it covers, so that a new reader cannot start from it.
func (l *Log) urgent(s *config.State, status logStatus) bool {
	edits := l.host.Settings.Int(logSection, "restate_edits")
	return s.Offset-min(s.Offset, status.Covers) >= uint64(max(1, edits)) || status.Covers+1 < status.First
}

// isTurn reports whether this instance should restate now. The first-ranked
// instance does so when a restatement is due. Each further one waits longer, so
// that it takes over only if the ones before it did not restate.
func (l *Log) isTurn(now time.Time, status logStatus, urgentSince time.Time) bool {
	rank := time.Duration(l.host.Rank(restateRankKey))
	every := l.host.Settings.Duration(logSection, "restate_every")
	if now.Sub(status.Restated) >= every+rank*every/4 {
		return true
	}
	return !urgentSince.IsZero() && now.Sub(urgentSince) >= rank*rankDelay
}

// restate appends the state in parts. A failed append leaves the restatement
// incomplete. Readers ignore it, and a later attempt appends another.
func (l *Log) restate(ctx context.Context, s *config.State) {
	records, err := s.Restate().Split(uuid.NewString())
	for _, r := range records {
		var data []byte
		if data, err = config.EncodeRecord(r); err == nil {
			_, err = l.host.Log.Append(ctx, stream, data)
		}
		if err != nil {
			break
		}
	}
	result := "ok"
	if err != nil {
		result = "failed"
	}
	l.host.Counter(`config_restatements{result="` + result + `"}`).Inc(1)
}

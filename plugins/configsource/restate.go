package configsource

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/savoryfold/savoryfold/config"
)

// Times of restatements.
const (
	restateTick = 500 * time.Millisecond
	// restatePause is the time before an instance restates once more.
	restatePause = 2 * time.Second
	// rankDelay is the time that each instance leaves to the one before it in
	// rank, when a restatement is due at once.
	rankDelay = 3 * time.Second
)

// restateKey is what the instances are ranked by.
const restateKey = "config/restate"

// restateLoop restates the tables whenever it is due and this instance's turn.
func (l *Log) restateLoop(ctx context.Context) {
	ticker := time.NewTicker(restateTick)
	defer ticker.Stop()
	var urgentSince, tried time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s, view, ok := l.restatable()
			if !ok || now.Sub(tried) < restatePause {
				continue
			}
			if !l.urgent(s, view) {
				urgentSince = time.Time{}
			} else if urgentSince.IsZero() {
				urgentSince = now
			}
			if l.turn(now, view, urgentSince) {
				tried = now
				l.restate(ctx, s)
			}
		}
	}
}

// restatable returns the state if it holds every record of the log.
func (l *Log) restatable() (*config.State, logView, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.follower.State()
	ok := s != nil && s.Offset > 0 && !l.follower.Gathering() && l.view.Reachable && s.Offset+1 == l.view.Next
	return s, l.view, ok
}

// urgent reports whether a restatement is due whatever its age: many records
// followed the last one, or the log keeps none that a new reader can start at.
func (l *Log) urgent(s *config.State, view logView) bool {
	edits := l.host.Settings.Int(logSection, "restate_edits")
	return s.Offset-min(s.Offset, view.Covers) >= uint64(max(1, edits)) || view.Covers+1 < view.First
}

// turn reports whether this instance is to restate now. The first in rank does
// so when it is due, the others later, if the ones before them did not.
func (l *Log) turn(now time.Time, view logView, urgentSince time.Time) bool {
	rank := time.Duration(l.host.Rank(restateKey))
	every := l.host.Settings.Duration(logSection, "restate_every")
	if now.Sub(view.Restated) >= every+rank*every/4 {
		return true
	}
	return !urgentSince.IsZero() && now.Sub(urgentSince) >= rank*rankDelay
}

// restate appends the state in parts. A part that fails leaves the restatement
// incomplete; readers ignore it and another follows.
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

package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// alertMethod is the request by which an instance tells its evidence at once.
const alertMethod = "versions.alert"

// Bounds of alerts.
const (
	// maxAlerts is the number of alerts that wait to be sent; further ones are
	// left to the digests.
	maxAlerts = 16
	// alertGap is the time between two alerts of an instance.
	alertGap     = 50 * time.Millisecond
	alertTimeout = time.Second
	// alertReceivers is the number of instances that get an alert.
	alertReceivers = 2
)

// alert asks for the evidence on a move to be sent. Each instance sees few calls
// of a new version, and digests cross availability zones slowly: the instances
// that come first in the move's rendezvous order see the faults of all at once
// and roll back for all. Nothing depends on their being there. The caller holds the
// move's mu.
func (r *Rollout) alert(m *move) {
	select {
	case r.alerts <- m:
	default:
	}
}

// sendAlerts sends alerts until the context ends.
func (r *Rollout) sendAlerts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.alerts:
			r.sendAlert(ctx, m)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(alertGap):
		}
	}
}

func (r *Rollout) sendAlert(ctx context.Context, m *move) {
	if m.rolledBack.Load() {
		return
	}
	m.mu.Lock()
	payload := encodeDigest(digest{Moves: []moveDigest{{ID: m.id, Evidence: m.own(time.Now())}}})
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, alertTimeout)
	defer cancel()
	for _, member := range r.host.First("moves/"+m.route, alertReceivers) {
		if member.ID == r.host.ID() {
			continue
		}
		result := "ok"
		if _, err := r.host.Peers.Call(ctx, member, alertMethod, payload); err != nil {
			result = "failed"
		}
		r.host.Counter(`versions_alerts{result="` + result + `"}`).Inc(1)
	}
}

// receiveAlert implements kernel.PeerHandler.
func (r *Rollout) receiveAlert(_ context.Context, from string, body []byte) ([]byte, error) {
	d, err := decodeDigest(body)
	if err != nil {
		return nil, err
	}
	if len(d.Moves) != 1 {
		return nil, errors.New("an alert is about one move")
	}
	now := time.Now()
	if m := r.receiveMove(from, now, d.Moves[0]); m != nil {
		r.update(now, m)
	}
	return nil, nil
}

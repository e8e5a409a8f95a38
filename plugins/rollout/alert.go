package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// alertMethod is the peer request by which an instance sends its evidence
// without waiting for the next digest.
const alertMethod = "versions.alert"

const (
	// maxAlerts is the capacity of the send queue. Alerts beyond it are dropped;
	// their evidence still travels in the digests.
	maxAlerts = 16
	// alertInterval is the minimum time between two alerts of an instance.
	alertInterval = 50 * time.Millisecond
	alertTimeout  = time.Second
	// alertReceivers is the number of instances to which an alert is sent.
	alertReceivers = 2
)

// alert queues this instance's evidence on a move for sending. Each instance
// sees few calls of a new version, and digests cross availability zones slowly.
// The first instances in the move's rendezvous order therefore collect the
// failures of all instances early and roll back for all of them. If those
// instances are unreachable, the digests still carry the evidence. The caller
// holds the move's mu.
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
		case <-time.After(alertInterval):
		}
	}
}

func (r *Rollout) sendAlert(ctx context.Context, m *move) {
	if m.rolledBack.Load() {
		return
	}
	m.mu.Lock()
	payload := encodeDigest(digest{Moves: []moveDigest{{ID: m.id, Evidence: m.ownEvidence(time.Now())}}})
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, alertTimeout)
	defer cancel()
	for _, member := range r.host.FirstRanked("moves/"+m.route, alertReceivers) {
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

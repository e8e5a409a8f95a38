package configsource

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
)

// fetchMethod is the peer request for the state of another instance.
const fetchMethod = "config.fetch"

const (
	fetchCheckInterval = 200 * time.Millisecond
	// fetchTimeoutMin and fetchTimeoutMax bound a fetch. Each failure doubles the
	// timeout, in case the state is too large to be transferred within it.
	fetchTimeoutMin = 2 * time.Second
	fetchTimeoutMax = 30 * time.Second
)

// fetchRequest asks for a state newer than the one at offset Have.
type fetchRequest struct {
	Have uint64 `cbor:"1,keyasint"`
}

// serveFetch returns the state as a restatement, or nothing if it is not newer
// than the caller's.
func (l *Log) serveFetch(_ context.Context, _ string, body []byte) ([]byte, error) {
	var req fetchRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, errors.Wrap(err, fetchMethod)
	}
	s := l.state()
	if s == nil || s.Offset <= req.Have {
		return nil, nil
	}
	return config.EncodeRestatement(s.Restate())
}

// fetchLoop fetches the state of another instance whenever this instance has been
// behind it for peer_patience.
func (l *Log) fetchLoop(ctx context.Context) {
	if l.host.Peers == nil || l.host.Membership == nil {
		return
	}
	maxLag := l.host.Settings.Duration(logSection, "peer_patience")
	ticker := time.NewTicker(fetchCheckInterval)
	defer ticker.Stop()
	var behindSince time.Time
	timeout := fetchTimeoutMin
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			member, behind := l.newestMember()
			if !behind {
				behindSince = time.Time{}
				continue
			}
			if behindSince.IsZero() {
				behindSince = now
			}
			if now.Sub(behindSince) < maxLag {
				continue
			}
			behindSince = now.Add(rand.N(maxLag)) // jittered extra wait before the next fetch
			if l.fetch(ctx, member, timeout) {
				timeout = fetchTimeoutMin
			} else {
				timeout = min(2*timeout, fetchTimeoutMax)
			}
		}
	}
}

// newestMember returns a member with the newest tables, chosen at random among
// several, and whether this instance is behind: its tables are older, or it
// missed records.
func (l *Log) newestMember() (kernel.Member, bool) {
	l.mu.Lock()
	gathering, s := l.follower.Gathering(), l.follower.State()
	l.mu.Unlock()
	var own uint64
	if s != nil {
		own = s.Tables.Revision
	}
	var best kernel.Member
	found := 0
	view := l.host.Membership.View()
	for _, m := range view.Members {
		if m.ID == l.host.ID() || m.State == kernel.MemberGone || m.ConfigRevision < own {
			continue
		}
		if found == 0 || m.ConfigRevision > best.ConfigRevision {
			best, found = m, 1
		} else if m.ConfigRevision == best.ConfigRevision {
			found++
			if rand.N(found) == 0 {
				best = m
			}
		}
	}
	return best, found > 0 && (best.ConfigRevision > own || (gathering && best.ConfigRevision > 0))
}

// fetch fetches and adopts the state of a member, and counts the result. It reports
// whether the member responded in time.
func (l *Log) fetch(ctx context.Context, m kernel.Member, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := "failed"
	adopted, err := l.fetchFrom(ctx, m)
	switch {
	case err != nil:
		l.logger.Debug("fetching state from another instance failed", "from", m.ID, "error", err)
	case adopted:
		result = "newer"
	default:
		result = "same"
	}
	l.host.Counter(`config_fetches{result="` + result + `"}`).Inc(1)
	return err == nil
}

func (l *Log) fetchFrom(ctx context.Context, m kernel.Member) (bool, error) {
	body, err := cbor.Marshal(fetchRequest{Have: l.offset()})
	if err != nil {
		return false, errors.Wrap(err, fetchMethod)
	}
	response, err := l.host.Peers.Call(ctx, m, fetchMethod, body)
	if err != nil || len(response) == 0 {
		return false, err
	}
	r, err := config.DecodeRestatement(response)
	if err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	adopted, err := l.follower.Adopt(r)
	if adopted {
		l.logger.Info("state fetched from another instance", "from", m.ID, "revision", r.Revision)
		l.publish()
	}
	return adopted, err
}

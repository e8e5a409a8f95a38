package claims

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy/claim"
)

// Methods of the calls between instances.
const (
	methodAppend     = "claims.append"
	methodRead       = "claims.read"
	methodUnfinished = "claims.unfinished"
)

// Time limits of calls between instances.
const (
	ownerTimeout = time.Second
	ownerBackoff = 2 * time.Second
	maxReadWait  = 5 * time.Second
)

// appendCall asks the owner of a shard to append entries. A call with a claim has
// no other entries.
type appendCall struct {
	Shard   int           `cbor:"1,keyasint"`
	Entries []claim.Entry `cbor:"2,keyasint"`
}

// readCall asks the owner of a shard for the state of a key, and to wait while an
// attempt holds the key.
type readCall struct {
	Shard  int        `cbor:"1,keyasint"`
	ID     claim.ID   `cbor:"2,keyasint"`
	Body   claim.Hash `cbor:"3,keyasint"`
	WaitMS int64      `cbor:"4,keyasint"`
}

// unfinishedCall asks the owner of a shard for the unfinished claims.
type unfinishedCall struct {
	Shard int `cbor:"1,keyasint"`
}

// replyCode is the result of the owner's append to or read from the log.
type replyCode uint8

const (
	codeOK replyCode = iota
	codeUnavailable
	codeUnknown
)

// reply is the response to every call. Its Finding has a slot only if the key is
// taken.
type reply struct {
	Code    replyCode     `cbor:"1,keyasint"`
	Finding claim.Finding `cbor:"2,keyasint"`
	// Unfinished is the response to an unfinishedCall.
	Unfinished []claim.Slot `cbor:"3,keyasint,omitempty"`
}

// replyOf returns the reply for the result of a call.
func replyOf(f claim.Finding, err error) reply {
	switch {
	case err == nil && f.Verdict != claim.Taken:
		return reply{Finding: claim.Finding{Verdict: f.Verdict, KeyAhead: f.KeyAhead}}
	case err == nil:
		return reply{Finding: f}
	case errors.Is(err, kernel.ErrLogUnavailable):
		return reply{Code: codeUnavailable}
	}
	return reply{Code: codeUnknown}
}

func (r reply) result() (claim.Finding, error) {
	switch r.Code {
	case codeOK:
		return r.Finding, nil
	case codeUnavailable:
		return claim.Finding{}, kernel.ErrLogUnavailable
	}
	return claim.Finding{}, kernel.ErrAppendUnknown
}

// ownerFailures records the owners whose latest call failed. They are not called
// for ownerBackoff.
type ownerFailures struct {
	mu         sync.Mutex
	avoidUntil map[string]time.Time // by boot ID; guarded by mu
}

func (o *ownerFailures) avoided(boot string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.avoidUntil[boot])
}

func (o *ownerFailures) recordFailure(boot string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.avoidUntil == nil {
		o.avoidUntil = make(map[string]time.Time)
	}
	for b, until := range o.avoidUntil {
		if now.After(until) {
			delete(o.avoidUntil, b)
		}
	}
	o.avoidUntil[boot] = now.Add(ownerBackoff)
}

// ownerOf returns the member that batches the appends of a shard, and whether it
// is this instance. The owner is chosen by rendezvous hashing among the ready
// members. The choice affects only latency, since the order of the records on the
// log decides which claim wins.
func (m *Log) ownerOf(shard int) (kernel.Member, bool) {
	if m.host.Membership == nil || m.host.Membership.View() == nil {
		return kernel.Member{}, true
	}
	view := m.host.Membership.View()
	best, found := view.Self, false
	var score uint64
	for _, member := range view.Members {
		h := xxhash.Sum64String(member.ID + "/" + strconv.Itoa(shard))
		if member.State == kernel.MemberReady && (!found || h > score) {
			best, score, found = member, h, true
		}
	}
	return best, best.ID == view.Self.ID
}

// remoteOwner returns the owner of a shard if it is another instance that can be
// called.
func (m *Log) remoteOwner(shard int) (kernel.Member, bool) {
	if m.host.Peers == nil {
		return kernel.Member{}, false
	}
	owner, self := m.ownerOf(shard)
	if self || m.owners.avoided(owner.Boot, time.Now()) {
		return kernel.Member{}, false
	}
	return owner, true
}

// callOwner calls another instance. If it returns an error, the other instance
// may still have carried out the call.
func (m *Log) callOwner(ctx context.Context, to kernel.Member, method string, timeout time.Duration, body any) (reply, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic("claims: " + err.Error())
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := m.host.Peers.Call(ctx, to, method, data)
	var r reply
	if err == nil {
		err = claim.Unmarshal(response, &r)
	}
	if err != nil {
		m.owners.recordFailure(to.Boot, time.Now())
		m.count("claim_owner_calls", "result", "failed")
		return reply{}, errors.Wrap(err, method)
	}
	m.count("claim_owner_calls", "result", "ok")
	return r, nil
}

// appendEntries has entries appended by the owner of the shard. If the owner
// cannot be called or cannot reach the log, this instance appends them itself.
// Entries may be appended twice, which has no further effect. unconfirmed means
// that the owner may still append them.
func (m *Log) appendEntries(ctx context.Context, shard int, entries ...claim.Entry) (f claim.Finding, unconfirmed bool, err error) {
	if owner, ok := m.remoteOwner(shard); ok {
		r, err := m.callOwner(ctx, owner, methodAppend, ownerTimeout, appendCall{Shard: shard, Entries: entries})
		if err == nil && r.Code == codeOK {
			return r.Finding, false, nil
		}
		unconfirmed = err != nil || r.Code == codeUnknown
	}
	f, err = m.appendLocal(ctx, shard, entries)
	if err != nil && unconfirmed {
		err = kernel.ErrAppendUnknown
	}
	return f, unconfirmed, err
}

// appendLocal appends entries from this instance. If the verdict on a claim is
// already known, the claim is not appended.
func (m *Log) appendLocal(ctx context.Context, shard int, entries []claim.Entry) (claim.Finding, error) {
	s := m.shards[shard]
	first := entries[0]
	if first.Kind != claim.KindClaim {
		return claim.Finding{}, s.submit(ctx, entries...)
	}
	f, known := s.find(first.ID, first.Attempt, first.Origin.BodyHash)
	if known && f.Verdict != claim.Available {
		return s.fetchEvicted(ctx, f), nil
	}
	if m.circuit.open(time.Now()) {
		return claim.Finding{}, kernel.ErrLogUnavailable
	}
	if err := s.submit(ctx, entries...); err != nil {
		return claim.Finding{}, err
	}
	f, known = s.find(first.ID, first.Attempt, first.Origin.BodyHash)
	switch {
	case known && f.Verdict == claim.Available && f.KeyAhead:
		return claim.Finding{Verdict: claim.KeyTime}, nil
	case !known || f.Verdict == claim.Available:
		return claim.Finding{}, kernel.ErrAppendUnknown
	}
	return s.fetchEvicted(ctx, f), nil
}

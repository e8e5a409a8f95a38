package rollout

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// The kinds of digest. Rollbacks have their own kind because gossip forwards a
// rarely changing digest at once, also between availability zones.
const (
	evidenceKind  = "versions"
	rollbacksKind = "rollbacks"
)

// digestInterval is the minimum time between two updates of the evidence digest.
const digestInterval = time.Second

// maxDigestItems bounds each array and map of a digest.
const maxDigestItems = 4096

// digest holds an instance's evidence on all moves.
type digest struct {
	Moves []moveDigest `cbor:"1,keyasint,omitempty"`
	// Zones counts the calls that still run in zones that are out of service.
	Zones map[string]int64 `cbor:"2,keyasint,omitempty"`
}

type moveDigest struct {
	ID       uint64              `cbor:"1,keyasint"`
	Evidence policy.MoveEvidence `cbor:"2,keyasint"`
}

// rollbackDigest identifies a move that was rolled back.
type rollbackDigest struct {
	ID  uint64 `cbor:"1,keyasint"`
	Why string `cbor:"2,keyasint,omitempty"`
}

// zoneCalls holds the calls per zone that another instance reported.
type zoneCalls struct {
	at    time.Time
	calls map[string]int64
}

var (
	digestEncoder = newDigestEncoder()
	digestDecoder = newDecoder()
)

// newDigestEncoder returns an encoder that gives equal digests equal bytes.
func newDigestEncoder() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic("rollout: " + err.Error())
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 8, MaxArrayElements: maxDigestItems, MaxMapPairs: maxDigestItems,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic("rollout: " + err.Error())
	}
	return mode
}

// cachedDigest is an encoded digest with the time of its encoding.
type cachedDigest struct {
	at      time.Time
	payload []byte
}

// encodeEvidence returns the digest of this instance's evidence and zone calls.
// The digest changes at most once per digestInterval.
func (r *Rollout) encodeEvidence() []byte {
	now := time.Now()
	r.mu.Lock()
	cached := r.lastDigest
	r.mu.Unlock()
	if now.Sub(cached.at) < digestInterval {
		return cached.payload
	}
	var d digest
	for _, m := range r.moves.Load().ordered() {
		m.mu.Lock()
		d.Moves = append(d.Moves, moveDigest{ID: m.id, Evidence: m.ownEvidence(now)})
		m.mu.Unlock()
	}
	d.Zones = r.ownZoneCalls()
	cached = cachedDigest{at: now, payload: encodeDigest(d)}
	r.mu.Lock()
	r.lastDigest = cached
	r.mu.Unlock()
	return cached.payload
}

// encodeRollbacks returns the digest of the moves that were rolled back.
func (r *Rollout) encodeRollbacks() []byte {
	rollbacks := []rollbackDigest{}
	for _, m := range r.moves.Load().ordered() {
		if m.rolledBack.Load() {
			m.mu.Lock()
			rollbacks = append(rollbacks, rollbackDigest{ID: m.id, Why: m.why})
			m.mu.Unlock()
		}
	}
	return encodeDigest(rollbacks)
}

func encodeDigest(v any) []byte {
	payload, err := digestEncoder.Marshal(v)
	if err != nil {
		panic("rollout: digest: " + err.Error())
	}
	return payload
}

func decodeDigest(payload []byte) (digest, error) {
	var d digest
	err := digestDecoder.Unmarshal(payload, &d)
	return d, errors.Wrap(err, "digest")
}

func decodeRollbacks(payload []byte) ([]rollbackDigest, error) {
	var rollbacks []rollbackDigest
	err := digestDecoder.Unmarshal(payload, &rollbacks)
	return rollbacks, errors.Wrap(err, "digest")
}

// receiveEvidence stores the evidence and zone calls of another instance.
func (r *Rollout) receiveEvidence(digest kernel.Digest) {
	d, err := decodeDigest(digest.Payload)
	if err != nil {
		r.host.Counter("versions_digests_faulty").Inc(1)
		return
	}
	from := digest.From
	at := time.Now().Add(-digest.Age)
	r.mu.Lock()
	r.zones[from.ID] = zoneCalls{at: at, calls: d.Zones}
	r.mu.Unlock()
	for _, md := range d.Moves {
		r.receiveMove(from.ID, at, md)
	}
}

// receiveMove stores another instance's evidence on one move. It returns the
// move, or nil if the local tables do not have it.
func (r *Rollout) receiveMove(from string, at time.Time, md moveDigest) *move {
	for _, m := range r.moves.Load().byRoute {
		if m.id != md.ID {
			continue
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.step = max(m.step, md.Evidence.Step)
		if at.After(m.byInstance[from].at) {
			m.byInstance[from] = peerEvidence{at: at, evidence: md.Evidence}
		}
		return m
	}
	return nil
}

// receiveRollbacks immediately applies the rollbacks of another instance.
func (r *Rollout) receiveRollbacks(digest kernel.Digest) {
	rollbacks, err := decodeRollbacks(digest.Payload)
	if err != nil {
		r.host.Counter("versions_digests_faulty").Inc(1)
		return
	}
	now := time.Now()
	for _, m := range r.moves.Load().byRoute {
		for _, b := range rollbacks {
			if b.ID == m.id {
				m.mu.Lock()
				r.rollBack(m, now, b.Why)
				m.mu.Unlock()
			}
		}
	}
	r.rollbacksKnown.Store(true)
}

// ownZoneCalls counts this instance's running calls in zones that are out of
// service.
func (r *Rollout) ownZoneCalls() map[string]int64 {
	snap := r.host.Snapshot()
	if snap == nil {
		return nil
	}
	var out map[string]int64
	for name, z := range snap.Tables.Zones {
		if z.Out {
			if out == nil {
				out = make(map[string]int64)
			}
			out[name] = snap.ZoneInFlight(name)
		}
	}
	return out
}

// dropStaleZones drops zone calls that are older than recentMaxAge.
func (r *Rollout) dropStaleZones(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.zones, func(_ string, z zoneCalls) bool { return now.Sub(z.at) > recentMaxAge })
}

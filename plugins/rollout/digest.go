package rollout

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// The kinds of digests. Rollbacks have their own: they change seldom, and what
// changes seldom is passed on at once, also between availability zones.
const (
	evidenceKind  = "versions"
	rollbacksKind = "rollbacks"
)

// digestEvery is the time between two changes of what is said of evidence.
const digestEvery = time.Second

// maxDigestItems bounds what a digest may hold.
const maxDigestItems = 4096

// digest is what an instance says of the evidence on all moves.
type digest struct {
	Moves []moveDigest `cbor:"1,keyasint,omitempty"`
	// Zones tells the calls that still run in availability zones taken out.
	Zones map[string]int64 `cbor:"2,keyasint,omitempty"`
}

type moveDigest struct {
	ID       uint64              `cbor:"1,keyasint"`
	Evidence policy.MoveEvidence `cbor:"2,keyasint"`
}

// rollbackDigest tells a move that was taken back.
type rollbackDigest struct {
	ID  uint64 `cbor:"1,keyasint"`
	Why string `cbor:"2,keyasint,omitempty"`
}

// zoneCalls is what another instance said of zones.
type zoneCalls struct {
	at    time.Time
	calls map[string]int64
}

var (
	digestEncoder = newDigestEncoder()
	digestDecoder = newDecoder()
)

// newDigestEncoder makes an encoder that gives equal digests equal bytes.
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

// saidDigest is a digest and when it was made.
type saidDigest struct {
	at      time.Time
	payload []byte
}

// encodeEvidence returns what this instance says of evidence and zones. It changes
// once in digestEvery.
func (r *Rollout) encodeEvidence() []byte {
	now := time.Now()
	r.mu.Lock()
	said := r.said
	r.mu.Unlock()
	if now.Sub(said.at) < digestEvery {
		return said.payload
	}
	var d digest
	for _, m := range r.moves.Load().ordered() {
		m.mu.Lock()
		d.Moves = append(d.Moves, moveDigest{ID: m.id, Evidence: m.own(now)})
		m.mu.Unlock()
	}
	d.Zones = r.ownZones()
	said = saidDigest{at: now, payload: encodeDigest(d)}
	r.mu.Lock()
	r.said = said
	r.mu.Unlock()
	return said.payload
}

// encodeRollbacks returns the moves that were taken back.
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

// receiveEvidence takes what another instance says of evidence.
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

// receiveMove takes another instance's evidence on one move. It returns the move,
// or nil if the tables here do not have it.
func (r *Rollout) receiveMove(from string, at time.Time, md moveDigest) *move {
	for _, m := range r.moves.Load().byRoute {
		if m.id != md.ID {
			continue
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.step = max(m.step, md.Evidence.Step)
		if at.After(m.heard[from].at) {
			m.heard[from] = heard{at: at, evidence: md.Evidence}
		}
		return m
	}
	return nil
}

// receiveRollbacks takes over what another instance has taken back, at once.
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
	r.informed.Store(true)
}

// ownZones counts this instance's calls in zones that are out.
func (r *Rollout) ownZones() map[string]int64 {
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

// forgetZones drops what instances said of zones a while ago.
func (r *Rollout) forgetZones(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.zones, func(_ string, z zoneCalls) bool { return now.Sub(z.at) > recentAge })
}

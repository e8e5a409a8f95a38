package rollout

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// digestKind is the kind of the digests by which instances share evidence.
const digestKind = "versions"

// maxDigestItems bounds what a digest may hold.
const maxDigestItems = 4096

// digest is what an instance says of all moves.
type digest struct {
	Moves []moveDigest `cbor:"1,keyasint,omitempty"`
	// Zones tells the calls that still run in availability zones taken out.
	Zones map[string]int64 `cbor:"2,keyasint,omitempty"`
}

type moveDigest struct {
	ID       uint64              `cbor:"1,keyasint"`
	Evidence policy.MoveEvidence `cbor:"2,keyasint"`
	Why      string              `cbor:"3,keyasint,omitempty"`
}

// zoneCalls is what another instance said of zones.
type zoneCalls struct {
	at    time.Time
	calls map[string]int64
}

var digestDecoder = newDecoder()

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

// digest returns what this instance says.
func (r *Rollout) digest() []byte {
	now := time.Now()
	var d digest
	for _, m := range r.moves.Load().byRoute {
		m.mu.Lock()
		d.Moves = append(d.Moves, moveDigest{ID: m.id, Evidence: m.own(now), Why: m.why})
		m.mu.Unlock()
	}
	d.Zones = r.ownZones()
	if len(d.Moves) == 0 && len(d.Zones) == 0 {
		return nil
	}
	payload, err := cbor.Marshal(d)
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

// hear takes what another instance says. A brake is taken over at once.
func (r *Rollout) hear(from kernel.Member, payload []byte) {
	if len(payload) == 0 {
		return
	}
	d, err := decodeDigest(payload)
	if err != nil {
		r.host.Counter("versions_digests_faulty").Inc(1)
		return
	}
	now := time.Now()
	r.mu.Lock()
	r.zones[from.ID] = zoneCalls{at: now, calls: d.Zones}
	r.mu.Unlock()
	said := make(map[uint64]moveDigest, len(d.Moves))
	for _, md := range d.Moves {
		said[md.ID] = md
	}
	for _, m := range r.moves.Load().byRoute {
		md, ok := said[m.id]
		if !ok {
			continue
		}
		m.mu.Lock()
		if md.Evidence.Braked {
			r.brake(m, now, md.Why)
		}
		m.step = max(m.step, md.Evidence.Step)
		m.heard[from.ID] = heard{at: now, evidence: md.Evidence}
		m.mu.Unlock()
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

package membership

import (
	"slices"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/peer"
)

// digestSink receives digests of one kind.
type digestSink func(kernel.Digest)

// delivery is a received digest and the sinks to call with it.
type delivery struct {
	sinks  []digestSink
	digest kernel.Digest
}

func (d delivery) deliver() {
	for _, sink := range d.sinks {
		sink(d.digest)
	}
}

// Source implements kernel.Digests.
func (g *Gossip) Source(kind string, f func() []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sources[kind] = f
}

// Sink implements kernel.Digests.
func (g *Gossip) Sink(kind string, f func(kernel.Digest)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sinks[kind] = append(g.sinks[kind], f)
}

// collectDigests calls the sources and returns the payloads by digest kind. A
// payload longer than maxDigestBytes does not fit into a datagram. It is counted
// and not returned.
func (g *Gossip) collectDigests() map[string][]byte {
	g.mu.Lock()
	sources := make(map[string]func() []byte, len(g.sources))
	for kind, f := range g.sources {
		sources[kind] = f
	}
	g.mu.Unlock()
	payloads := make(map[string][]byte, len(sources))
	for kind, f := range sources {
		payload := f()
		if len(payload) > maxDigestBytes {
			g.counters.oversize.Inc(1)
			continue
		}
		if payload != nil {
			payloads[kind] = payload
		}
	}
	return payloads
}

// receiveDigests stores the digests of a datagram and returns the deliveries of
// those that are new. A digest of an unknown instance is ignored. The caller
// holds mu.
func (g *Gossip) receiveDigests(now time.Time, d *peer.Datagram) []delivery {
	var deliveries []delivery
	for _, digest := range d.Digests {
		originZone := g.table.ZoneOf(digest.Origin)
		if originZone == "" {
			continue
		}
		g.counters.digestReceived(digest.Kind, len(digest.Payload))
		fresh, urgent := g.digests.Receive(now, digest, d.Message.Self.Zone, originZone)
		if !fresh {
			continue
		}
		if urgent {
			g.table.MarkUrgent()
		}
		deliveries = append(deliveries, delivery{
			sinks: slices.Clone(g.sinks[digest.Kind]),
			digest: kernel.Digest{
				From:    g.memberByID(digest.Origin),
				Age:     g.digests.Age(now, digest.Origin, digest.Kind),
				Payload: digest.Payload,
			},
		})
	}
	return deliveries
}

// memberByID returns the member from the current view, or, if the view does not
// hold it yet, a member with only its ID and availability zone.
func (g *Gossip) memberByID(id string) kernel.Member {
	v := g.view.Load()
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m kernel.Member, id string) int {
		switch {
		case m.ID < id:
			return -1
		case m.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return kernel.Member{ID: id, Zone: g.table.ZoneOf(id), Boot: "0"}
	}
	return v.Members[i]
}

package membership

import (
	"slices"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/peer"
)

// digestSink receives digests of one kind.
type digestSink func(kernel.Digest)

// delivery is a digest on its way to its sinks.
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

// ask calls the sources. A digest that does not fit into a datagram is counted
// and left out.
func (g *Gossip) ask() map[string][]byte {
	g.mu.Lock()
	sources := make(map[string]func() []byte, len(g.sources))
	for kind, f := range g.sources {
		sources[kind] = f
	}
	g.mu.Unlock()
	said := make(map[string][]byte, len(sources))
	for kind, f := range sources {
		payload := f()
		if len(payload) > maxDigestBytes {
			g.count.oversize.Inc(1)
			continue
		}
		if payload != nil {
			said[kind] = payload
		}
	}
	return said
}

// takeDigests takes in a datagram's digests and returns those that are news.
// The caller holds mu.
func (g *Gossip) takeDigests(now time.Time, d *peer.Datagram) []delivery {
	var news []delivery
	for _, digest := range d.Digests {
		home := g.table.ZoneOf(digest.Origin)
		if home == "" {
			continue
		}
		g.count.digestReceived(digest.Kind, len(digest.Payload))
		fresh, urgent := g.digests.Receive(now, digest, d.Message.Self.Zone, home)
		if !fresh {
			continue
		}
		if urgent {
			g.table.Hurry()
		}
		news = append(news, delivery{
			sinks: slices.Clone(g.sinks[digest.Kind]),
			digest: kernel.Digest{
				From:    g.memberByID(digest.Origin),
				Age:     g.digests.Age(now, digest.Origin, digest.Kind),
				Payload: digest.Payload,
			},
		})
	}
	return news
}

// memberByID returns a member of the view, or one with the ID only.
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

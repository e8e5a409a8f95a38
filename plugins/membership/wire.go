package membership

import (
	"errors"
	"time"

	"github.com/savoryfold/savoryfold/peer"
	"github.com/savoryfold/savoryfold/policy"
)

// packet is one encoded datagram on its way out.
type packet struct {
	kind    policy.MemberSendKind
	address string
	raw     []byte
}

// pack encodes messages, adding the digests that are due. The caller holds mu.
func (g *Gossip) pack(now time.Time, sends []policy.MemberSend) []packet {
	var packets []packet
	secrets := g.keyring.Secrets()
	for _, s := range sends {
		parts := peer.Split(s.Message)
		for i, part := range parts {
			d := &peer.Datagram{Message: *part}
			if i == len(parts)-1 {
				d.Digests = g.dueDigests(now, s, part)
			}
			raw, err := g.encode(now, s.Kind, d, secrets)
			if err != nil {
				g.count.refused("encode")
				continue
			}
			packets = append(packets, packet{kind: s.Kind, address: s.Address, raw: raw})
		}
	}
	return packets
}

// dueDigests chooses the digests that go with a message.
func (g *Gossip) dueDigests(now time.Time, s policy.MemberSend, m *policy.MemberMessage) []policy.Digest {
	if s.Kind != policy.SendHeartbeat && s.Kind != policy.SendBridge {
		return nil
	}
	digests := g.digests.Take(now, policy.DigestReceiver{ID: s.ID, Zone: s.Zone, Rank: s.Rank}, peer.Room(m))
	for _, d := range digests {
		g.count.digestSent(d.Kind, len(d.Payload))
	}
	return digests
}

func (g *Gossip) encode(now time.Time, kind policy.MemberSendKind, d *peer.Datagram, s peer.Secrets) ([]byte, error) {
	g.sequence++
	d.Header = peer.Header{Sequence: g.sequence, SentAt: now.Unix(), Kind: kind}
	return d.Encode(s)
}

// transmit sends packets; a send that fails is counted.
func (g *Gossip) transmit(packets []packet) {
	for _, p := range packets {
		if err := g.socket.send(p.address, p.raw); err != nil {
			g.count.refused("send")
			continue
		}
		g.count.sent(p.kind, len(p.raw))
	}
}

// receive verifies a datagram in the event loop and queues it.
func (g *Gossip) receive(raw []byte) {
	start := time.Now()
	d, err := peer.Decode(raw, g.keyring.Secrets())
	switch {
	case errors.Is(err, peer.ErrDatagramForged):
		g.count.refused("forged")
		return
	case err != nil:
		g.count.refused("form")
		return
	}
	select {
	case g.inbox <- arrival{datagram: d, size: len(raw), spent: time.Since(start)}:
	default:
		g.count.refused("overflow")
	}
}

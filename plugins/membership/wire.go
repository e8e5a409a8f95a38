package membership

import (
	"errors"
	"time"

	"github.com/savoryfold/savoryfold/peer"
	"github.com/savoryfold/savoryfold/policy"
)

// packet is an encoded datagram that is ready to be sent.
type packet struct {
	kind    policy.MemberSendKind
	address string
	raw     []byte
}

// pack encodes messages as datagrams and attaches the digests that are due. A
// message that does not fit into one datagram is split. The caller holds mu.
func (g *Gossip) pack(now time.Time, sends []policy.MemberSend) []packet {
	var packets []packet
	secrets := g.keyring.Secrets()
	for _, s := range sends {
		parts := peer.SplitMessage(s.Message)
		for i, part := range parts {
			d := &peer.Datagram{Message: *part}
			if i == len(parts)-1 {
				d.Digests = g.dueDigests(now, s, part)
			}
			raw, err := g.encode(now, s.Kind, d, secrets)
			if err != nil {
				g.counters.dropped("encode")
				continue
			}
			packets = append(packets, packet{kind: s.Kind, address: s.Address, raw: raw})
		}
	}
	return packets
}

// dueDigests returns the digests to attach to a message. Only heartbeats, also
// those to other availability zones, carry digests.
func (g *Gossip) dueDigests(now time.Time, s policy.MemberSend, m *policy.MemberMessage) []policy.Digest {
	if s.Kind != policy.SendHeartbeat && s.Kind != policy.SendBridge {
		return nil
	}
	digests := g.digests.Take(now, policy.DigestReceiver{ID: s.ID, Zone: s.Zone, Rank: s.Rank}, peer.DigestRoom(m))
	for _, d := range digests {
		g.counters.digestSent(d.Kind, len(d.Payload))
	}
	return digests
}

func (g *Gossip) encode(now time.Time, kind policy.MemberSendKind, d *peer.Datagram, s peer.Secrets) ([]byte, error) {
	g.sequence++
	d.Header = peer.Header{Sequence: g.sequence, SentAt: now.Unix(), Kind: kind}
	return d.Encode(s)
}

// transmit sends packets. A failed send is counted and not retried.
func (g *Gossip) transmit(packets []packet) {
	for _, p := range packets {
		if err := g.socket.send(p.address, p.raw); err != nil {
			g.counters.dropped("send")
			continue
		}
		g.counters.sent(p.kind, len(p.raw))
	}
}

// receive verifies and decodes a datagram and queues it for run. It runs in the
// event loop of the socket and does not block: if the queue is full, the
// datagram is dropped.
func (g *Gossip) receive(raw []byte) {
	start := time.Now()
	d, err := peer.Decode(raw, g.keyring.Secrets())
	switch {
	case errors.Is(err, peer.ErrDatagramForged):
		g.counters.dropped("forged")
		return
	case err != nil:
		g.counters.dropped("form")
		return
	}
	select {
	case g.inbox <- receivedDatagram{datagram: d, size: len(raw), decodeTime: time.Since(start)}:
	default:
		g.counters.dropped("overflow")
	}
}

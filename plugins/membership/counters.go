package membership

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

// counters counts messages, bytes and processing time by kind of message.
type counters struct {
	host          *kernel.Host
	kinds         [policy.SendKinds]kindCounters
	tickNanos     metrics.Counter
	oversize      metrics.Counter
	secretsFailed metrics.Counter
}

type kindCounters struct {
	sent, sentBytes, received, receivedBytes, receivedNanos metrics.Counter
}

func (c *counters) init(h *kernel.Host) {
	c.host = h
	for i := range c.kinds {
		label := `{kind="` + policy.MemberSendKind(i).String() + `"}`
		c.kinds[i] = kindCounters{
			sent:          h.Counter("gossip_sent_messages" + label),
			sentBytes:     h.Counter("gossip_sent_bytes" + label),
			received:      h.Counter("gossip_received_messages" + label),
			receivedBytes: h.Counter("gossip_received_bytes" + label),
			receivedNanos: h.Counter("gossip_received_nanoseconds" + label),
		}
	}
	c.tickNanos = h.Counter("gossip_round_nanoseconds")
	c.oversize = h.Counter("digests_too_large")
	c.secretsFailed = h.Counter("gossip_secrets_failed")
}

func (c *counters) sent(kind policy.MemberSendKind, size int) {
	c.kinds[kind].sent.Inc(1)
	c.kinds[kind].sentBytes.Inc(int64(size))
}

func (c *counters) received(kind policy.MemberSendKind, size int, spent time.Duration) {
	c.kinds[kind].received.Inc(1)
	c.kinds[kind].receivedBytes.Inc(int64(size))
	c.kinds[kind].receivedNanos.Inc(int64(spent))
}

// dropped counts a datagram that was received and not accepted, or that could not
// be encoded or sent.
func (c *counters) dropped(reason string) {
	c.host.Counter(`gossip_refused{reason="` + reason + `"}`).Inc(1)
}

func (c *counters) digestSent(kind string, size int) {
	c.host.Counter(`digest_sent_bytes{kind="` + kind + `"}`).Inc(int64(size))
	c.host.Counter(`digest_sent{kind="` + kind + `"}`).Inc(1)
}

func (c *counters) digestReceived(kind string, size int) {
	c.host.Counter(`digest_received_bytes{kind="` + kind + `"}`).Inc(int64(size))
	c.host.Counter(`digest_received{kind="` + kind + `"}`).Inc(1)
}

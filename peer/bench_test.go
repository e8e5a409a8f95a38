package peer

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/savoryfold/savoryfold/policy"
)

// Parameters of the benchmark.
const (
	benchRound           = 250 * time.Millisecond
	benchWarmup          = 60 * time.Second
	benchTime            = 60 * time.Second
	benchPublishInterval = 500 * time.Millisecond
	benchPayload         = 80 // bytes, as a load digest of two servers
	ipUDPHeaderBytes     = 28 // per datagram
)

// benchNode is an instance with its state machines and codec, without sockets.
type benchNode struct {
	record   policy.MemberRecord
	table    *policy.MemberTable
	digests  *policy.DigestTable
	guard    ReplayGuard
	secrets  Secrets
	sequence uint64
	sent     benchTraffic
	received benchTraffic
}

type benchTraffic struct{ messages, bytes, digestBytes int }

type benchPacket struct {
	to  *benchNode
	raw []byte
}

type benchNetwork struct {
	now       time.Time
	nodes     []*benchNode
	byAddress map[string]*benchNode
}

func newBenchNetwork(nodes, zones int) *benchNetwork {
	net := &benchNetwork{now: time.Unix(1_800_000_000, 0), byAddress: make(map[string]*benchNode)}
	config := policy.MemberConfig{
		Interval: benchRound, SuspectAfter: 2 * time.Second, GoneAfter: 8 * time.Second,
		ForgetAfter: time.Hour, Fanout: 2, Delegates: 2,
	}
	for i := range nodes {
		n := &benchNode{secrets: secrets(secretA), guard: ReplayGuard{MaxSkew: time.Minute}}
		n.record = policy.MemberRecord{
			ID: fmt.Sprintf("launceston-%d", i), Zone: fmt.Sprintf("zone-%02d", i%zones), Boot: uint64(net.now.UnixNano()),
			Status: policy.MemberReady, Revision: 1_000_000,
			GossipAddress: fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250), PeerAddress: fmt.Sprintf("10.0.%d.%d:7947", i/250, i%250),
		}
		n.table = policy.NewMemberTable(n.record, config, net.now)
		n.table.SetSeeds([]string{"10.0.0.0:7946", "10.0.0.1:7946"})
		n.digests = policy.NewDigestTable(n.record.ID, n.record.Zone)
		net.nodes = append(net.nodes, n)
		net.byAddress[n.record.GossipAddress] = n
	}
	return net
}

// pack encodes the messages of an instance as the membership plug-in does.
func (net *benchNetwork) pack(n *benchNode, sends []policy.MemberSend) []benchPacket {
	var out []benchPacket
	for _, s := range sends {
		parts := SplitMessage(s.Message)
		for i, part := range parts {
			d := &Datagram{Message: *part}
			if i == len(parts)-1 && s.Kind <= policy.SendBridge {
				d.Digests = n.digests.Take(net.now, policy.DigestReceiver{ID: s.ID, Zone: s.Zone, Rank: s.Rank}, DigestRoom(part))
			}
			n.sequence++
			d.Header = Header{Sequence: n.sequence, SentAt: net.now.Unix(), Kind: s.Kind}
			raw, err := d.Encode(n.secrets)
			if err != nil {
				panic(err)
			}
			n.sent.add(raw, d)
			out = append(out, benchPacket{net.byAddress[s.Address], raw})
		}
	}
	return out
}

func (c *benchTraffic) add(raw []byte, d *Datagram) {
	c.messages++
	c.bytes += len(raw) + ipUDPHeaderBytes
	for _, digest := range d.Digests {
		c.digestBytes += len(digest.Payload)
	}
}

// deliver delivers packets and the replies to them, until there are no more
// replies.
func (net *benchNetwork) deliver(packets []benchPacket) {
	for len(packets) > 0 {
		var replies []benchPacket
		for _, p := range packets {
			if p.to != nil {
				replies = append(replies, net.receive(p.to, p.raw)...)
			}
		}
		packets = replies
	}
}

func (net *benchNetwork) receive(n *benchNode, raw []byte) []benchPacket {
	d, err := Decode(raw, n.secrets)
	if err != nil {
		panic(err)
	}
	if !n.guard.Accept(net.now, d) {
		panic("replayed")
	}
	n.received.add(raw, d)
	sends := n.table.Receive(net.now, &d.Message)
	for _, digest := range d.Digests {
		if originZone := n.table.ZoneOf(digest.Origin); originZone != "" {
			if _, urgent := n.digests.Receive(net.now, digest, d.Message.Self.Zone, originZone); urgent {
				n.table.MarkUrgent()
			}
		}
	}
	return net.pack(n, sends)
}

func (net *benchNetwork) run(d time.Duration) {
	for end := net.now.Add(d); net.now.Before(end); net.now = net.now.Add(benchRound) {
		for _, n := range net.nodes {
			if net.now.UnixMilli()%benchPublishInterval.Milliseconds() == 0 {
				payload := make([]byte, benchPayload)
				binary.LittleEndian.PutUint64(payload, uint64(net.now.UnixMilli()))
				if n.digests.Publish(net.now, "load.0", payload) {
					n.table.MarkUrgent()
				}
			}
			net.deliver(net.pack(n, n.table.Tick(net.now)))
		}
	}
}

// spreadTime returns how long it takes until all instances have an urgent digest
// of one instance.
func (net *benchNetwork) spreadTime() time.Duration {
	origin := net.nodes[0]
	if origin.digests.Publish(net.now, "rollbacks", []byte{1}) {
		origin.table.MarkUrgent()
	}
	start := net.now
	for missing := true; missing; {
		net.run(benchRound)
		missing = false
		for _, n := range net.nodes[1:] {
			missing = missing || n.digests.Age(net.now, origin.record.ID, "rollbacks") == 0
		}
	}
	return net.now.Sub(start)
}

// BenchmarkMembershipCost measures the traffic, processor time and memory that
// membership and load digests cost an instance, by number of instances. It covers
// the state machines, the codec and the signatures, but no sockets.
func BenchmarkMembershipCost(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{9, 3}, {40, 4}, {120, 11}, {340, 11}} {
		b.Run(fmt.Sprintf("nodes=%d/zones=%d", size.nodes, size.zones), func(b *testing.B) {
			for range b.N {
				measureCost(b, size.nodes, size.zones)
			}
		})
	}
}

func measureCost(b *testing.B, nodes, zones int) {
	net := newBenchNetwork(nodes, zones)
	net.run(benchWarmup)
	for _, n := range net.nodes {
		n.sent, n.received = benchTraffic{}, benchTraffic{}
		ready := 1
		for _, m := range n.table.View(net.now) {
			if m.Status == policy.MemberReady {
				ready++
			}
		}
		if ready != nodes {
			b.Fatalf("%s sees %d of %d ready", n.record.ID, ready, nodes)
		}
	}
	start := time.Now()
	net.run(benchTime)
	spent := time.Since(start)
	var sum, most benchTraffic
	for _, n := range net.nodes {
		both := benchTraffic{n.sent.messages + n.received.messages, n.sent.bytes + n.received.bytes, n.sent.digestBytes + n.received.digestBytes}
		sum.messages += both.messages
		sum.bytes += both.bytes
		sum.digestBytes += both.digestBytes
		most.bytes = max(most.bytes, both.bytes)
	}
	seconds := benchTime.Seconds()
	perNode := seconds * float64(nodes)
	b.ReportMetric(float64(sum.messages)/perNode, "messages/node/s")
	b.ReportMetric(float64(sum.bytes)/perNode, "bytes/node/s")
	b.ReportMetric(float64(most.bytes)/seconds, "bytes/busiest-node/s")
	b.ReportMetric(float64(sum.digestBytes)/perNode, "digest-bytes/node/s")
	b.ReportMetric(float64(spent.Nanoseconds())/perNode, "cpu-ns/node/s")
	b.ReportMetric(net.spreadTime().Seconds()*1000, "ms-to-spread-a-rollback")
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/float64(nodes), "heap-bytes/node")
	runtime.KeepAlive(net)
}

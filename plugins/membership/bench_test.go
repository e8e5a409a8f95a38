package membership

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/policy"
)

// Durations of the benchmark.
const (
	benchWarmup = 3 * time.Second
	benchTime   = 10 * time.Second
)

// BenchmarkGossip measures the traffic and processor time of membership with
// sockets, by number of instances. All instances run in one process; the
// processor time is that of the process divided by the number of instances.
func BenchmarkGossip(b *testing.B) {
	for _, nodes := range []int{3, 6, 9} {
		b.Run(fmt.Sprintf("nodes=%d/zones=3", nodes), func(b *testing.B) {
			convey.Convey("start", b, func() {
				for range b.N {
					measureGossip(b, nodes)
				}
			})
		})
	}
}

func measureGossip(b *testing.B, nodes int) {
	var all []*Gossip
	seed := ""
	for i := range nodes {
		g := startWithDefaultInterval(fmt.Sprintf("node-%d", i), fmt.Sprintf("zone-%d", i%3),
			"gossip_listen = 127.0.0.1:0", "secrets = "+secretA, "seeds = "+seed)
		if seed == "" {
			seed = g.GossipAddress()
		}
		all = append(all, g)
	}
	time.Sleep(benchWarmup)
	messages, bytes := totalTraffic(all)
	spent := processTime()
	time.Sleep(benchTime)
	newMessages, newBytes := totalTraffic(all)
	perNode := benchTime.Seconds() * float64(nodes)
	b.ReportMetric(float64(newMessages-messages)/perNode, "messages/node/s")
	b.ReportMetric(float64(newBytes-bytes)/perNode, "bytes/node/s")
	b.ReportMetric(float64(processTime()-spent)/perNode, "cpu-ns/node/s")
	stopAll(all...)
}

// totalTraffic returns the number of datagrams sent and received, and their bytes
// without IP and UDP headers.
func totalTraffic(all []*Gossip) (messages, bytes int64) {
	for _, g := range all {
		for kind := range policy.SendKinds {
			c := g.counters.kinds[kind]
			messages += c.sent.Count() + c.received.Count()
			bytes += c.sentBytes.Count() + c.receivedBytes.Count()
		}
	}
	return messages, bytes
}

func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

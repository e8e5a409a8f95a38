package claims

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/standin"
)

// crashSteps maps each step to a function that brings a claim of the key at the
// holder up to that step. The holder is killed afterwards.
var crashSteps = map[string]func(c *cluster, n *node, key string){
	"its claim is in flight": func(c *cluster, n *node, key string) {
		c.service.Set(standin.LogFaults{DelayMS: 100})
		go n.claimKey(key, "body", testTimeout)
		eventually(func() bool { return n.host.Counter("claim_appends").Count() > 0 || !n.owns(key) })
	},
	"its claim is granted": func(_ *cluster, n *node, key string) {
		n.claimKey(key, "body", testTimeout)
	},
	"it has dispatched": func(c *cluster, n *node, key string) {
		if g := n.claimKey(key, "body", testTimeout); g.Claim.MayDispatch(time.Now()) {
			c.execute(key, n.member.ID)
		}
	},
	"its outcome cannot reach the log": func(c *cluster, n *node, key string) {
		g := n.claimKey(key, "body", testTimeout)
		c.service.Set(standin.LogFaults{Down: true})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		g.Claim.Complete(ctx, c.execute(key, n.member.ID))
	},
	"its outcome is on the log": func(_ *cluster, n *node, key string) {
		n.serve(key, testTimeout)
	},
}

// owns reports whether the instance batches the key's shard.
func (n *node) owns(key string) bool {
	_, self := n.ownerOf(n.rules.ShardOf(idOf(key)))
	return self
}

func TestCrashAtEachStep(t *testing.T) {
	for step, advance := range crashSteps {
		Convey("A holder is killed once "+step, t, func() {
			inCluster(t, 0, "", func(c *cluster) {
				key, holder := newKey(), c.nodes[0]
				advance(c, holder, key)
				c.kill(holder)
				c.service.Set(standin.LogFaults{})
				for _, n := range c.nodes {
					var r kernel.Result
					So(eventually(func() bool {
						r = n.serve(key, testTimeout)
						return r.Outcome.Kind != kernel.NotRun
					}), ShouldBeTrue)
					So(c.runCount(key), ShouldBeLessThanOrEqualTo, 1)
					if r.Outcome.Kind == kernel.Served {
						So(string(r.Answer.Body), ShouldEndWith, "run 1")
						continue
					}
					So(r.Outcome.Reason, ShouldEqual, kernel.ReasonInDoubt)
				}
			})
		})
	}
}

func TestPlannedStop(t *testing.T) {
	Convey("A planned stop waits until the outcome is on the log", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			key, n := newKey(), c.nodes[0]
			g := n.claimKey(key, "body", testTimeout)
			So(g.Claim, ShouldNotBeNil)
			c.service.Set(standin.LogFaults{Down: true})
			cancelled, cancel := context.WithCancel(context.Background())
			cancel()
			g.Claim.Complete(cancelled, kernel.Answer{Body: []byte("kept")})
			stopped := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				stopped <- n.Stop(ctx)
			}()
			c.service.Set(standin.LogFaults{})
			So(<-stopped, ShouldBeNil)
			So(n.claimKey(newKey(), "body", testTimeout).Result.Outcome.Reason, ShouldEqual, kernel.ReasonLeaving)
			c.kill(n)
			So(string(c.nodes[0].claimKey(key, "body", testTimeout).Result.Answer.Body), ShouldEqual, "kept")
		})
	})
}

func TestLateAppends(t *testing.T) {
	Convey("Appends that take effect after their connection broke", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			c.service.Set(standin.LogFaults{LateAppends: 0.5, LateMS: 60})
			keys := make([]string, 20)
			for i := range keys {
				keys[i] = newKey()
			}
			for key, results := range c.serveConcurrently(keys) {
				So(c.runCount(key), ShouldBeLessThanOrEqualTo, 1)
				for _, r := range results {
					if r.Outcome.Kind == kernel.Served {
						So(string(r.Answer.Body), ShouldEndWith, "run 1")
					}
				}
			}
			c.service.Set(standin.LogFaults{})
			Convey("leave no key held by a live holder that abandoned it", func() {
				for _, key := range keys {
					So(eventually(func() bool {
						return c.nodes[0].serve(key, 200*time.Millisecond).Outcome.Kind == kernel.Served
					}), ShouldBeTrue)
					So(c.runCount(key), ShouldEqual, 1)
				}
			})
		})
	})
}

func TestRateLimit(t *testing.T) {
	Convey("A log that limits the rate of appends delays claims and loses none", t, func() {
		c := newCluster(t, 3, 0, 60, "appends_per_second = 1000\n")
		defer c.close()
		keys := make([]string, 60)
		for i := range keys {
			keys[i] = newKey()
		}
		for key, results := range c.serveConcurrently(keys) {
			So(c.runCount(key), ShouldBeLessThanOrEqualTo, 1)
			for _, r := range results {
				So(r.Outcome.Kind, ShouldBeIn, kernel.Served, kernel.NotRun, kernel.Unknown)
			}
		}
	})
}

package claims

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/standin"
)

// inCluster runs a test with three instances on one log service.
func inCluster(t *testing.T, retention time.Duration, extra string, f func(c *cluster)) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c := newCluster(t, 3, retention, 0, "appends_per_second = 1000\n"+extra)
	defer c.close()
	f(c)
}

// serveConcurrently sends every key to each of the three instances, all at once.
func (c *cluster) serveConcurrently(keys []string) map[string][]kernel.Result {
	var mu sync.Mutex
	var wg sync.WaitGroup
	results := make(map[string][]kernel.Result)
	for i := range 3 * len(keys) {
		key, n := keys[i%len(keys)], c.nodes[i/len(keys)]
		wg.Go(func() {
			r := n.serve(key, testTimeout)
			mu.Lock()
			defer mu.Unlock()
			results[key] = append(results[key], r)
		})
	}
	wg.Wait()
	return results
}

func TestOneRunForThreeCallers(t *testing.T) {
	Convey("Requests with one key at three instances run once", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			keys := make([]string, 40)
			for i := range keys {
				keys[i] = newKey()
			}
			for key, results := range c.serveConcurrently(keys) {
				So(c.runCount(key), ShouldEqual, 1)
				for _, r := range results {
					So(r.Outcome, ShouldResemble, kernel.Outcome{Kind: kernel.Served})
					So(r.Answer, ShouldResemble, results[0].Answer)
				}
			}
		})
	})
	Convey("They run at most once while append responses are lost and instances cannot call each other", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			c.service.Set(standin.LogFaults{LoseResponses: 0.4})
			c.setPeers(true, false)
			keys := make([]string, 25)
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
		})
	})
	Convey("They run once while the responses of the shard owners are lost", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			c.setPeers(false, true)
			keys := []string{newKey(), newKey(), newKey(), newKey(), newKey()}
			for key, results := range c.serveConcurrently(keys) {
				So(c.runCount(key), ShouldEqual, 1)
				for _, r := range results {
					So(r.Answer, ShouldResemble, results[0].Answer)
				}
			}
		})
	})
}

func TestRetries(t *testing.T) {
	Convey("Given a request in progress", t, func() {
		inCluster(t, 0, "max_answer = 64\n", func(c *cluster) {
			key := newKey()
			g := c.nodes[0].claimKey(key, "body", testTimeout)
			So(g.Claim, ShouldNotBeNil)
			Convey("a retry at another instance gets \"in progress\" at its deadline", func() {
				out := c.nodes[1].claimKey(key, "body", 200*time.Millisecond).Result.Outcome
				So(out.Kind, ShouldEqual, kernel.Unknown)
				So(out.Reason, ShouldEqual, kernel.ReasonInProgress)
				So(out.RetryAfter, ShouldBeGreaterThan, 0)
			})
			Convey("a waiting retry gets the answer", func() {
				got := make(chan kernel.Result, 1)
				go func() { got <- c.nodes[1].claimKey(key, "body", testTimeout).Result }()
				g.Claim.Complete(context.Background(), kernel.Answer{Body: []byte("certificate 7")})
				r := <-got
				So(r.Outcome.Kind, ShouldEqual, kernel.Served)
				So(string(r.Answer.Body), ShouldEqual, "certificate 7")
				So(r.Replayed, ShouldBeTrue)
			})
			Convey("a retry with another body is refused", func() {
				So(c.nodes[2].claimKey(key, "other", testTimeout).Result.Outcome.Reason, ShouldEqual, kernel.ReasonKeyReused)
			})
			Convey("a release lets a waiting retry run, but never the holder", func() {
				got := make(chan kernel.ClaimGrant, 1)
				go func() { got <- c.nodes[1].claimKey(key, "body", testTimeout) }()
				g.Claim.Release()
				So(g.Claim.MayDispatch(time.Now()), ShouldBeFalse)
				other := <-got
				So(other.Claim, ShouldNotBeNil)
				So(other.Claim.MayDispatch(time.Now()), ShouldBeTrue)
				other.Claim.Release()
			})
			Convey("an answer that is too large is not stored, and a retry reports that", func() {
				g.Claim.Complete(context.Background(), kernel.Answer{Body: make([]byte, 65)})
				out := c.nodes[1].claimKey(key, "body", testTimeout).Result.Outcome
				So(out.Kind, ShouldEqual, kernel.Unknown)
				So(out.Reason, ShouldEqual, kernel.ReasonAnswerNotKept)
			})
			g.Claim.Release()
		})
	})
	Convey("An answer that was evicted from memory is read from the log", t, func() {
		inCluster(t, 0, "shards = 1\nanswer_memory = 100\n", func(c *cluster) {
			first := newKey()
			served := c.nodes[0].serve(first, testTimeout)
			for range 3 {
				So(c.nodes[0].serve(newKey(), testTimeout).Outcome.Kind, ShouldEqual, kernel.Served)
			}
			c.service.Set(standin.LogFaults{Down: true})
			So(c.nodes[1].serve(first, testTimeout).Outcome.Kind, ShouldEqual, kernel.Unknown)
			c.service.Set(standin.LogFaults{})
			So(eventually(func() bool {
				return string(c.nodes[1].serve(first, testTimeout).Answer.Body) == string(served.Answer.Body)
			}), ShouldBeTrue)
			So(c.runCount(first), ShouldEqual, 1)
		})
	})
	Convey("A holder that resumes after its deadline does not dispatch", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			g := c.nodes[0].claimKey(newKey(), "body", testTimeout)
			So(g.Claim.MayDispatch(time.Now().Add(2*testTimeout)), ShouldBeFalse)
			g.Claim.Release()
		})
	})
	Convey("Keys without a timestamp or outside the window are refused", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			old := uuid.Must(uuid.NewV7())
			old[0], old[1] = 0, 0
			for _, key := range []string{"k", uuid.NewString(), old.String()} {
				out := c.nodes[0].claimKey(key, "body", testTimeout).Result.Outcome
				So(out.Kind, ShouldEqual, kernel.Rejected)
				So(out.Reason, ShouldEqual, kernel.ReasonKeyInvalidOrExpired)
			}
		})
	})
}

func TestHolderKilled(t *testing.T) {
	Convey("Given a holder that was killed after its claim", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			key := newKey()
			holder := c.nodes[0]
			g := holder.claimKey(key, "body", testTimeout)
			So(g.Claim, ShouldNotBeNil)
			_, err := c.nodes[1].InDoubt(context.Background())
			So(err, ShouldBeNil)
			info := kernel.ClaimInfo{Account: "authority", Route: "certificate", Key: key}
			So(c.nodes[1].Settle(context.Background(), info, kernel.VerdictRan, "ann"), ShouldEqual, ErrNotInDoubt)
			c.kill(holder)
			out := c.nodes[0].claimKey(key, "body", testTimeout).Result.Outcome
			So(out.Kind, ShouldEqual, kernel.Unknown)
			So(out.Reason, ShouldEqual, kernel.ReasonInDoubt)
			list, err := c.nodes[1].InDoubt(context.Background())
			So(err, ShouldBeNil)
			So(list, ShouldHaveLength, 1)
			So(list[0].Key, ShouldEqual, key)
			So(list[0].Holder, ShouldEqual, holder.member.ID)
			Convey("an operator's decision closes the key permanently", func() {
				So(c.nodes[1].Settle(context.Background(), list[0], kernel.VerdictNotRun, "ann"), ShouldBeNil)
				out := c.nodes[0].claimKey(key, "body", testTimeout).Result.Outcome
				So(out.Reason, ShouldEqual, kernel.ReasonSettledNotRun)
				So(c.nodes[1].Settle(context.Background(), list[0], kernel.VerdictRan, "bob"), ShouldEqual, ErrNotInDoubt)
			})
			Convey("a retry reports that the request ran if the operator decided so", func() {
				So(c.nodes[1].Settle(context.Background(), list[0], kernel.VerdictRan, "ann"), ShouldBeNil)
				So(c.nodes[0].claimKey(key, "body", testTimeout).Result.Outcome.Reason, ShouldEqual, kernel.ReasonAnswerNotKept)
			})
		})
	})
	Convey("A claim that its holder marked in doubt is in doubt for retries", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			key := newKey()
			c.nodes[0].claimKey(key, "body", testTimeout).Claim.MarkInDoubt()
			So(c.nodes[1].claimKey(key, "body", testTimeout).Result.Outcome.Reason, ShouldEqual, kernel.ReasonInDoubt)
		})
	})
	Convey("An answer is still returned after its holder was killed", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			key := newKey()
			first := c.nodes[0].serve(key, testTimeout)
			c.kill(c.nodes[0])
			c.start()
			for _, n := range c.nodes {
				So(n.serve(key, testTimeout).Answer, ShouldResemble, first.Answer)
			}
			So(c.runCount(key), ShouldEqual, 1)
		})
	})
}

func TestLogOutage(t *testing.T) {
	Convey("Given an unreachable log", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			done, open := newKey(), newKey()
			served := c.nodes[0].serve(done, testTimeout)
			g := c.nodes[0].claimKey(open, "body", testTimeout)
			So(g.Claim, ShouldNotBeNil)
			c.service.Set(standin.LogFaults{Down: true})
			for _, n := range c.nodes {
				out := n.claimKey(newKey(), "body", testTimeout).Result.Outcome
				So(out.Kind, ShouldEqual, kernel.NotRun)
				So(out.Reason, ShouldEqual, kernel.ReasonLogUnavailable)
			}
			Convey("answers in memory are still returned", func() {
				So(c.nodes[1].serve(done, testTimeout).Answer, ShouldResemble, served.Answer)
			})
			Convey("an outcome is appended once the log is reachable again", func() {
				ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
				defer cancel()
				g.Claim.Complete(ctx, kernel.Answer{Body: []byte("late")})
				c.service.Set(standin.LogFaults{})
				So(eventually(func() bool {
					return string(c.nodes[2].claimKey(open, "body", testTimeout).Result.Answer.Body) == "late"
				}), ShouldBeTrue)
			})
			c.service.Set(standin.LogFaults{})
			g.Claim.Release()
		})
	})
	Convey("A claim whose append was lost is released before a retry may run", t, func() {
		inCluster(t, 0, "", func(c *cluster) {
			n := c.nodes[0]
			c.setPeers(true, false)
			_ = n.serve(newKey(), testTimeout)
			// The delay exceeds the client's timeout, so that no call succeeds.
			c.service.Set(standin.LogFaults{DelayMS: 1500})
			key := newKey()
			out := n.claimKey(key, "body", 100*time.Millisecond).Result.Outcome
			So(out.Kind, ShouldEqual, kernel.NotRun)
			So(n.claimKey(key, "body", testTimeout).Result.Outcome.Reason, ShouldEqual, kernel.ReasonClaimUnknown)
			c.service.Set(standin.LogFaults{})
			So(eventually(func() bool { return n.serve(key, testTimeout).Outcome.Kind == kernel.Served }), ShouldBeTrue)
			So(c.runCount(key), ShouldEqual, 1)
		})
	})
}

func TestRetention(t *testing.T) {
	Convey("Given a log that drops records sooner than the window", t, func() {
		inCluster(t, 2*time.Second, "shards = 1\nwindow = 1m\nrestate = 200ms\n", func(c *cluster) {
			first := newKey()
			So(c.nodes[0].serve(first, testTimeout).Outcome.Kind, ShouldEqual, kernel.Served)
			lost := c.nodes[0].claimKey(newKey(), "body", testTimeout)
			So(lost.Claim, ShouldNotBeNil)
			c.kill(c.nodes[0])
			So(eventually(func() bool { return c.oldest() > 3 }), ShouldBeTrue)
			Convey("an instance that starts afterwards grants no claim", func() {
				for len(c.nodes) > 0 {
					c.kill(c.nodes[0])
				}
				out := c.start().claimKey(newKey(), "body", testTimeout).Result.Outcome
				So(out.Kind, ShouldEqual, kernel.NotRun)
				So(out.Reason, ShouldEqual, kernel.ReasonLogUnavailable)
			})
			Convey("a claim in doubt is restated and can be settled", func() {
				var list []kernel.ClaimInfo
				So(eventually(func() bool {
					n := c.start()
					defer c.kill(n)
					list, _ = n.InDoubt(context.Background())
					return len(list) == 1
				}), ShouldBeTrue)
				So(c.nodes[0].Settle(context.Background(), list[0], kernel.VerdictRan, "ann"), ShouldBeNil)
			})
		})
	})
}

// oldest returns the oldest offset in the stream of shard 0.
func (c *cluster) oldest() uint64 {
	b, err := c.nodes[0].host.Log.Read(context.Background(), "claims/0", 1, 0)
	if err != nil {
		return 0
	}
	return b.First
}

func TestWaitingReadEndsWithContext(t *testing.T) {
	Convey("A read that waits for another one ends with its own context", t, func() {
		c := newCluster(t, 1, 0, 0, "")
		defer c.close()
		s := c.start().shards[0]
		So(s.acquireRead(context.Background()), ShouldBeNil) // as a long poll does
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.catchUp(ctx) }()
		cancel()
		select {
		case err := <-ended:
			So(err, ShouldNotBeNil)
		case <-time.After(30 * time.Second):
			t.Fatal("the read did not end with its context")
		}
		s.releaseRead()
	})
}

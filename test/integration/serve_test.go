// Package integration tests real processes behind fault-injecting relays.
package integration

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/internal/load"
	"github.com/savoryfold/savoryfold/standin"
	"github.com/savoryfold/savoryfold/test/harness"
)

const (
	testTimeout  = 2 * time.Minute
	tokens       = 6
	requestCount = 1000
	callerCount  = 16
)

var binaries harness.Binaries

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "savoryfold-integration")
	if err == nil {
		binaries, err = harness.Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// threeZoneSpec returns a cluster with one instance, two services and an engine
// in each of three availability zones.
func threeZoneSpec(dir string) harness.Spec {
	s := harness.Spec{
		Binaries: binaries, Dir: dir, Zones: []string{"hobart", "launceston", "burnie"},
		Pools: map[string]string{"encode": "limit = 64\n", "ledger": "limit = 64\n", "generate": "limit = 64\n"},
		Routes: map[string]string{
			"answer": "deadline = 30s\nstages = encode, generate\nencode.pool = encode\ngenerate.pool = generate\ngenerate.stream = true\n",
			"rebate": "deadline = 30s\nstages = encode, book\nencode.pool = encode\nbook.pool = ledger\nbook.idempotent = false\n",
		},
		Accounts: map[string]float64{"yard": 1, "customs": 1},
	}
	for _, zone := range s.Zones {
		for _, pool := range []string{"encode", "ledger"} {
			member := standin.FleetMember{Name: pool + "-" + zone, WorkMS: 2}
			s.Backends = append(s.Backends, harness.Backend{FleetMember: member, Pool: pool, Zone: zone})
		}
		engine := standin.FleetMember{Name: "generate-" + zone, Engine: true, Version: "v1", Tokens: tokens, StepMS: 1, Capacity: 64}
		s.Backends = append(s.Backends, harness.Backend{FleetMember: engine, Pool: "generate", Zone: zone})
	}
	return s
}

// launch starts a cluster that stops at the end of the test.
func launch(t *testing.T, s harness.Spec) *harness.Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := harness.Launch(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.Logs())
		}
		c.Close()
	})
	return c
}

// requestMix returns a streamed, an unstreamed and a non-idempotent kind of
// request.
func requestMix() []load.RequestKind {
	body := func(n int) string { return fmt.Sprintf(`{"n":%d}`, n) }
	return []load.RequestKind{
		{Route: "answer", Account: "yard", APIKey: "yard-key", Body: body, Stream: true},
		{Route: "answer", Account: "customs", APIKey: "customs-key", Body: body},
		{Route: "rebate", Account: "yard", APIKey: "yard-key", Body: body, Keyed: true},
	}
}

// checkResponse checks that a response is complete and belongs to its request.
func checkResponse(r *load.Result) error {
	text := standin.ResponseText([]byte(r.Body), "v1", tokens)
	want := fmt.Sprintf(`{"text":%q}`, text)
	switch {
	case r.Kind.Stream:
		want = text
	case r.Kind.Route == "rebate":
		want = fmt.Sprintf(`{"by":%q,"echo":%s}`, r.Costs[len(r.Costs)-1].Server, r.Body)
	}
	if string(r.Answer) != want {
		return fmt.Errorf("request %d: answer %q, want %q", r.N, r.Answer, want)
	}
	return nil
}

// sendAll sends n requests from callerCount concurrent callers and returns the
// results. Each caller sends one request at a time.
func sendAll(ctx context.Context, c *harness.Cluster, kinds []load.RequestKind, n int) []*load.Result {
	results := make([]*load.Result, n)
	client := load.NewClient()
	defer client.Close()
	done := make(chan struct{})
	for caller := range callerCount {
		go func() {
			for i := caller; i < n; i += callerCount {
				call := load.NewCall(i, "", &kinds[i%len(kinds)])
				call.Target = c.Instances[i%len(c.Instances)].Entry
				results[i] = client.Send(ctx, call, time.Now())
			}
			done <- struct{}{}
		}()
	}
	for range callerCount {
		<-done
	}
	return results
}

func TestServe(t *testing.T) {
	Convey("Three instances serve 1,000 requests, then stop gracefully", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		c := launch(t, threeZoneSpec(t.TempDir()))
		keys := make(map[string]int)
		for _, r := range sendAll(ctx, c, requestMix(), requestCount) {
			So(r.Err, ShouldBeNil)
			So(r.Outcome+r.Reason, ShouldEqual, load.OutcomeServed)
			So(checkResponse(r), ShouldBeNil)
			if r.Key != "" {
				keys["yard/rebate/book/"+r.Key]++
			}
		}
		executions := make(map[string]int)
		for _, zone := range c.Spec.Zones {
			calls, err := c.Calls(ctx, "ledger-"+zone)
			So(err, ShouldBeNil)
			for _, call := range calls {
				executions[call.Key]++
			}
		}
		So(executions, ShouldResemble, keys)
		for _, in := range c.Instances {
			So(in.Stop(testTimeout), ShouldEqual, 0)
		}
	})
}

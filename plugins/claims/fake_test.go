package claims

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy/claim"
	"github.com/savoryfold/savoryfold/standin"
)

// testTimeout limits every wait of these tests.
const testTimeout = 30 * time.Second

// cluster is a log service and the instances that use it.
type cluster struct {
	t             testing.TB
	service       *standin.LogService
	server        *standin.Server
	extraSettings string

	mu            sync.Mutex
	nodes         []*node // guarded by mu
	partitioned   bool    // instances cannot call each other; guarded by mu
	dropResponses bool    // calls take effect, but their responses are lost; guarded by mu
	runs          map[string]int
	started       int
}

// node is one instance: a claims module with its log client, and a fake of
// kernel.Membership and kernel.Peers.
type node struct {
	*Log
	cluster  *cluster
	member   kernel.Member
	handlers map[string]kernel.PeerHandler
	killed   bool
}

func newCluster(t testing.TB, size int, retention time.Duration, appends float64, extra string) *cluster {
	c := &cluster{t: t, service: standin.NewLogService(retention, appends), extraSettings: extra, runs: make(map[string]int)}
	var err error
	if c.server, err = standin.Listen("127.0.0.1:0", c.service.Handler()); err != nil {
		t.Fatal(err)
	}
	for range size {
		c.start()
	}
	return c
}

// start adds an instance.
func (c *cluster) start() *node {
	c.started++
	n := &node{cluster: c, handlers: make(map[string]kernel.PeerHandler)}
	n.member = kernel.Member{ID: fmt.Sprintf("node-%d", c.started), Boot: uuid.NewString(), State: kernel.MemberReady}
	text := "[instance]\nid = " + n.member.ID + "\nzone = z\n[claims]\n" + c.extraSettings
	settings, err := kernel.Schema().Load("test.ini", []byte(text))
	if err != nil {
		c.t.Fatal(err)
	}
	n.Log = &Log{}
	host := &kernel.Host{
		Settings: settings, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		Log: platform.NewLogClient(c.server.Address(), time.Second), Membership: n, Peers: n,
	}
	if err := n.Provision(host); err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	if err := n.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
	return n
}

// kill stops an instance at once. Entries that it has not sent are never sent.
func (c *cluster) kill(n *node) {
	c.mu.Lock()
	n.killed = true
	c.nodes = slices.DeleteFunc(c.nodes, func(o *node) bool { return o == n })
	c.mu.Unlock()
	n.cancel()
	n.workers.Wait()
	n.host.Log.(*platform.LogClient).Close()
}

func (c *cluster) close() {
	for _, n := range slices.Clone(c.nodes) {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if err := n.Stop(ctx); err != nil {
			c.t.Error(err)
		}
		cancel()
		c.kill(n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := c.server.Shutdown(ctx); err != nil {
		c.t.Error(err)
	}
}

// View implements kernel.Membership.
func (n *node) View() *kernel.MemberView {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	v := &kernel.MemberView{Self: n.member}
	for _, o := range n.cluster.nodes {
		v.Members = append(v.Members, o.member)
	}
	return v
}

// Subscribe implements kernel.Membership.
func (n *node) Subscribe(func(*kernel.MemberView)) {}

// SetState implements kernel.Membership.
func (n *node) SetState(kernel.MemberState) {}

// Handle implements kernel.Peers.
func (n *node) Handle(method string, h kernel.PeerHandler) { n.handlers[method] = h }

// Call implements kernel.Peers.
func (n *node) Call(ctx context.Context, to kernel.Member, method string, body []byte) ([]byte, error) {
	n.cluster.mu.Lock()
	i := slices.IndexFunc(n.cluster.nodes, func(o *node) bool { return o.member.Boot == to.Boot })
	if n.cluster.partitioned || n.killed || i < 0 {
		n.cluster.mu.Unlock()
		return nil, errors.New("peer unreachable")
	}
	o, dropResponses := n.cluster.nodes[i], n.cluster.dropResponses
	n.cluster.mu.Unlock()
	response, err := o.handlers[method](ctx, n.member.ID, body)
	if dropResponses {
		return nil, errors.New("response lost")
	}
	return response, err
}

func (c *cluster) setPeers(partitioned, dropResponses bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned, c.dropResponses = partitioned, dropResponses
}

// idOf returns the claim ID of a key in these tests.
func idOf(key string) claim.ID {
	return claim.ID{Account: "authority", Route: "certificate", Key: key}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// claimKey claims a key for a request with the given body.
func (n *node) claimKey(key, body string, deadline time.Duration) kernel.ClaimGrant {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return n.Claim(ctx, kernel.ClaimRequest{
		Account: "authority", Route: "certificate", Key: key,
		BodyHash: sha256.Sum256([]byte(body)), Deadline: time.Now().Add(deadline),
	})
}

// serve claims a key, runs the request once and stores an answer that is unique
// to the run.
func (n *node) serve(key string, deadline time.Duration) kernel.Result {
	g := n.claimKey(key, "body", deadline)
	if g.Claim == nil {
		return g.Result
	}
	if !g.Claim.MayDispatch(time.Now()) {
		g.Claim.Release()
		return kernel.Result{Outcome: kernel.Outcome{Kind: kernel.NotRun}}
	}
	a := n.cluster.execute(key, n.member.ID)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	g.Claim.Complete(ctx, a)
	return kernel.Result{Outcome: kernel.Outcome{Kind: kernel.Served}, Answer: a}
}

func (c *cluster) execute(key, by string) kernel.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
	return kernel.Answer{ContentType: "text/plain", Body: fmt.Appendf(nil, "%s by %s run %d", key, by, c.runs[key])}
}

func (c *cluster) runCount(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

// eventually waits until a condition holds.
func eventually(f func() bool) bool {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

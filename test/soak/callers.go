package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/platform/platformtest"
)

const (
	// callers is the number of callers, each with a connection of its own.
	callers = 16
	// stagedPieces is the number of pieces of each stage.
	stagedPieces = 2
	// pause is the mean time between two requests of a caller.
	pause = 30 * time.Millisecond
	// patience is how long a caller waits.
	patience = 3 * time.Second
)

// reply is what a caller got.
type reply struct {
	status int
	body   string
	whole  bool
	err    error
}

func (r reply) summary() string {
	switch {
	case r.err != nil && r.status == 0:
		return "no answer"
	case !r.whole:
		return fmt.Sprint(r.status, " broken off")
	}
	return strconv.Itoa(r.status)
}

// caller sends requests one after the other over one connection, to the same
// instance while its process lives.
type caller struct {
	w      *world
	number int
	client *http.Client
	node   *node
	life   int
	// newest is the newest configuration whose effect this caller saw at the
	// instance, in this life of its process.
	newest int64
	sent   int
}

var kinds = []string{"once", "again", "stream", "resume", "staged", "v"}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for ctx.Err() == nil {
		if c.node == nil {
			c.pick()
		}
		if c.node != nil {
			c.request(ctx, kinds[rand.IntN(len(kinds))])
		}
		time.Sleep(time.Duration(rand.Int64N(int64(2 * pause))))
	}
	c.client.CloseIdleConnections()
}

// pick chooses an instance that says that it is ready.
func (c *caller) pick() {
	n := c.w.nodes[rand.IntN(len(c.w.nodes))]
	p, life := n.running()
	if p == nil || !p.Running() || !ready(n.readiness) {
		return
	}
	c.node, c.life, c.newest = n, life, 0
	c.client.CloseIdleConnections()
}

func ready(address string) bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	return platformtest.ReadyBy(&client, address)
}

// request sends one request and notes what came of it.
func (c *caller) request(ctx context.Context, kind string) {
	c.sent++
	id := fmt.Sprintf("%02d%06d", c.number, c.sent)
	version := int64(0)
	path := "/" + kind + "/" + id
	if kind == "v" {
		version = 1 + rand.Int64N(c.w.version.Load())
		path = fmt.Sprintf("/v%d/%s", version, id)
	}
	c.w.ledger.ask(id)
	r := c.send(ctx, path, id)
	c.w.ledger.told(id, path, r)
	if kind == "v" {
		c.checkVersion(version, r)
	}
	if r.err != nil || r.status == 503 {
		c.node = nil // as the platform's entry does, another instance is tried
	}
}

// checkVersion checks that an instance never goes back to an older
// configuration.
func (c *caller) checkVersion(version int64, r reply) {
	if _, life := c.node.running(); life != c.life {
		c.newest = 0
		return
	}
	switch {
	case r.status == 200:
		c.newest = max(c.newest, version)
	case r.status == 404 && version <= c.newest:
		c.w.ledger.note("instance %s went back behind configuration %d", c.node.id, c.newest)
	}
}

func (c *caller) send(ctx context.Context, path, id string) reply {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	method := http.MethodGet
	if strings.HasPrefix(path, "/once/") {
		method = http.MethodPost
	}
	q := platformtest.Request{Address: c.node.front, Method: method, Host: appHost, Path: path, ID: id, Key: "soak-key", Wait: patience}
	if kindOf(path) == "staged" {
		q.Pieces = fmt.Sprintf("%d,%d", stagedPieces, stagedPieces)
	}
	resp, err := platformtest.SendBy(ctx, c.client, q)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(body), whole: err == nil, err: err}
}

// startCallers starts all callers; the returned function waits for their end.
func (w *world) startCallers(ctx context.Context) (wait func()) {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { (&caller{w: w, number: i}).run(ctx) })
	}
	return wg.Wait
}

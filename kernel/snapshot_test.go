package kernel

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/savoryfold/savoryfold/config"
)

const pairRevisions = 400

// pairOfTables returns a revision in which the route and its pool hold the same
// number, so that a mix of two revisions can be detected.
func pairOfTables(t *testing.T, revision int, server string) *config.Tables {
	t.Helper()
	text := fmt.Sprintf("[account alto]\nkey_sha256 = %064d\n[route r]\nstages = a\na.pool = p\na.path = /%d\n"+
		"[pool p]\nlimit = %d\nserver.%s = zone=z addr=127.0.0.1:1\n", 1, revision, revision, server)
	tables, err := config.ParseTables("t.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	tables.Revision = uint64(revision)
	return tables
}

// serveWhileTablesChange activates the revisions one after the other while four
// callers send requests, at least one request per revision. It returns the
// outcomes.
func serveWhileTablesChange(h *Host, revisions []*config.Tables) map[Outcome]int {
	outcomes := make(map[Outcome]int)
	var mu sync.Mutex
	var callers sync.WaitGroup
	done := make(chan struct{})
	ended := make(chan struct{}) // one message per request while tables change
	h.SetTables(revisions[1])
	for range 4 {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				result := h.Serve(context.Background(), &Request{Account: "alto", Route: "r", Body: []byte(`{}`)})
				mu.Lock()
				outcomes[result.Outcome]++
				mu.Unlock()
				select {
				case ended <- struct{}{}:
				case <-done:
				}
			}
		})
	}
	for _, tables := range revisions[2:] {
		<-ended
		h.SetTables(tables)
	}
	close(done)
	callers.Wait()
	return outcomes
}

// TestRequestSeesOneRevision counts requests that see a route of one revision and
// a pool of another while both change. Swapping the two tables separately, as
// mixedBySwapping does for comparison, causes this failure.
func TestRequestSeesOneRevision(t *testing.T) {
	revisions := make([]*config.Tables, pairRevisions)
	for i := range revisions {
		revisions[i] = pairOfTables(t, i+1, "s")
	}
	var mixed, seen atomic.Int64
	h := serveHost(t, &fakeTransport{answer: func(_ int, c *StageCall) StageAnswer {
		seen.Add(1)
		if c.Stage.Path != fmt.Sprintf("/%d", c.Pool.Limit) {
			mixed.Add(1)
		}
		return okAnswer(`1`)
	}})
	serveWhileTablesChange(h, revisions)
	Convey("No request sees a route of one revision and a pool of another", t, func() {
		So(seen.Load(), ShouldBeGreaterThan, 0)
		So(mixed.Load(), ShouldEqual, 0)
	})
	t.Logf("one snapshot: %d of %d requests mixed; two swaps: %d of %d changes", mixed.Load(), seen.Load(), mixedBySwapping(revisions), pairRevisions-1)
}

// TestServersReplacedUnderRequests replaces the only server of a pool with every
// revision. A request on an older snapshot must use the servers of the current
// one, and must not block the requests behind it in the queue.
func TestServersReplacedUnderRequests(t *testing.T) {
	revisions := make([]*config.Tables, pairRevisions)
	for i := range revisions {
		revisions[i] = pairOfTables(t, i+1, fmt.Sprintf("s%d", i))
	}
	h := serveHost(t, &fakeTransport{answer: func(int, *StageCall) StageAnswer { return okAnswer(`1`) }})
	outcomes := serveWhileTablesChange(h, revisions)
	Convey("Every request is served", t, func() {
		So(outcomes[Outcome{Kind: Served}], ShouldBeGreaterThan, 0)
		So(outcomes, ShouldHaveLength, 1)
	})
}

// mixedBySwapping counts the revisions of which a reader sees only one half if
// the tables of routes and of pools are swapped one after the other.
func mixedBySwapping(revisions []*config.Tables) int {
	var routes, pools atomic.Pointer[config.Tables]
	routes.Store(revisions[0])
	pools.Store(revisions[0])
	mixed := 0
	check := func() {
		if routes.Load().Revision != pools.Load().Revision {
			mixed++
		}
	}
	for _, tables := range revisions[1:] {
		routes.Store(tables)
		check()
		pools.Store(tables)
		check()
	}
	return mixed
}

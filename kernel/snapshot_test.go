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

// pairOfTables is a revision in which the route and its pool carry the same
// number, so that a reader can tell a mixed view.
func pairOfTables(t *testing.T, revision uint64) *config.Tables {
	t.Helper()
	text := fmt.Sprintf("[account alto]\nkey_sha256 = %064d\n[route r]\nstages = a\na.pool = p\na.path = /%d\n"+
		"[pool p]\nserver.%d = zone=z addr=127.0.0.1:1\n", 1, revision, revision)
	tables, err := config.ParseTables("t.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	tables.Revision = revision
	return tables
}

const pairRevisions = 400

// TestOneViewOfBothTables counts requests that see a route of one revision and
// a pool of another while both change. The baseline swaps the two tables one
// after the other.
func TestOneViewOfBothTables(t *testing.T) {
	revisions := make([]*config.Tables, pairRevisions)
	for i := range revisions {
		revisions[i] = pairOfTables(t, uint64(i+1))
	}
	var mixed, seen atomic.Int64
	transport := &fakeTransport{answer: func(_ int, c *StageCall) StageAnswer {
		seen.Add(1)
		if c.Stage.Path != "/"+c.Server.Name {
			mixed.Add(1)
		}
		return okAnswer(`1`)
	}}
	h := testHost(t, transport)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					h.Serve(context.Background(), &Request{Account: "alto", Route: "r", Body: []byte(`{}`)})
				}
			}
		})
	}
	for _, tables := range revisions[1:] {
		h.SetTables(tables)
	}
	close(done)
	callers.Wait()
	Convey("No request sees a route of one revision with a pool of another", t, func() {
		So(seen.Load(), ShouldBeGreaterThan, 0)
		So(mixed.Load(), ShouldEqual, 0)
	})
	t.Logf("one snapshot: %d of %d requests mixed; two swaps: %d of %d", mixed.Load(), seen.Load(), mixedBySwapping(revisions), pairRevisions)
}

// mixedBySwapping counts the revisions of which a reader sees only one half
// when the tables of routes and of pools are swapped one after the other.
func mixedBySwapping(revisions []*config.Tables) int {
	var routes, pools atomic.Pointer[config.Tables]
	routes.Store(revisions[0])
	pools.Store(revisions[0])
	mixed := 0
	look := func() {
		if routes.Load().Revision != pools.Load().Revision {
			mixed++
		}
	}
	for _, tables := range revisions[1:] {
		routes.Store(tables)
		look()
		pools.Store(tables)
		look()
	}
	return mixed
}

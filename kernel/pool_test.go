package kernel

import (
	"context"
	"testing"
	"time"
	"unsafe"

	"github.com/savoryfold/savoryfold/policy"
)

func standardPool(tb testing.TB, servers int) *Pool {
	d := standardDecisions()
	d.Placement = policy.StandardPlacement{}
	d.Queues = policy.FairQueues{}
	h := testHost(tb, "i0", d)
	h.SetTables(testTables(tb, 1, servers, ""))
	return h.Snapshot().Pool("encode")
}

func TestServerSize(t *testing.T) {
	size := unsafe.Sizeof(Server{}) + unsafe.Sizeof(serverState{})
	t.Logf("state of one server: %d bytes, and its limit; of one pool: %d bytes", size, unsafe.Sizeof(Pool{})+unsafe.Sizeof(poolState{}))
	if size > 512 {
		t.Errorf("state of one server takes %d bytes, want at most 512", size)
	}
}

// A call slot is taken and given back among 600 servers of two zones.
func BenchmarkAcquire600(b *testing.B) {
	pool := standardPool(b, 600)
	w := wantUntil(time.Now().Add(time.Hour))
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		pool.release(pool.acquire(ctx, w))
	}
}

// A placement among 600 servers with a prefix, one in four of them full.
func BenchmarkChoose600(b *testing.B) {
	pool := standardPool(b, 600)
	for i, s := range pool.Servers {
		if i%4 == 0 {
			s.allowance.Store(0)
		}
	}
	w := wantUntil(time.Now().Add(time.Hour))
	w.call.Prefix = 99
	v := pool.view(w)
	b.ReportAllocs()
	for b.Loop() {
		pool.choose(w, v)
	}
}

// A call finds all of 600 servers full.
func BenchmarkAcquireFull600(b *testing.B) {
	pool := standardPool(b, 600)
	for _, s := range pool.Servers {
		s.allowance.Store(0)
	}
	w := wantUntil(time.Now().Add(time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		pool.try(w)
	}
}

// The limits of 600 servers are refreshed, as five times a second.
func BenchmarkRefresh600(b *testing.B) {
	pool := standardPool(b, 600)
	r := rosterOf(members(340))
	b.ReportAllocs()
	for b.Loop() {
		pool.refresh(time.Now(), r)
	}
}

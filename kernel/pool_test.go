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

// BenchmarkAcquire600 acquires and releases a call slot in a pool of 600 servers
// in two zones.
func BenchmarkAcquire600(b *testing.B) {
	pool := standardPool(b, 600)
	req := slotRequestUntil(time.Now().Add(time.Hour))
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		pool.release(pool.acquire(ctx, req))
	}
}

// BenchmarkChoose600 places a call with a prefix in a pool of 600 servers, of
// which one in four is full.
func BenchmarkChoose600(b *testing.B) {
	pool := standardPool(b, 600)
	for i, s := range pool.Servers {
		if i%4 == 0 {
			s.allowance.Store(0)
		}
	}
	req := slotRequestUntil(time.Now().Add(time.Hour))
	req.call.Prefix = 99
	v := pool.newView(req)
	b.ReportAllocs()
	for b.Loop() {
		pool.choose(req, v)
	}
}

// BenchmarkAcquireFull600 tries to acquire a slot while all 600 servers are full.
func BenchmarkAcquireFull600(b *testing.B) {
	pool := standardPool(b, 600)
	for _, s := range pool.Servers {
		s.allowance.Store(0)
	}
	req := slotRequestUntil(time.Now().Add(time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		pool.tryAcquire(req)
	}
}

// BenchmarkRefresh600 refreshes the limits of 600 servers, which an instance does
// five times per second.
func BenchmarkRefresh600(b *testing.B) {
	pool := standardPool(b, 600)
	r := rosterOf(members(340))
	b.ReportAllocs()
	for b.Loop() {
		pool.refresh(time.Now(), r)
	}
}

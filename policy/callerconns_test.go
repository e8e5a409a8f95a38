package policy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCallerLimits guards against limits that a fleet's ordinary callers meet, or that leave
// no descriptors for connections to servers.
func TestCallerLimits(t *testing.T) {
	Convey("Connections, requests and files keep within the descriptors", t, func() {
		for _, k := range []struct {
			memory      int64
			descriptors int
		}{
			{72 << 20, 1537}, {144 << 20, 3075}, {160 << 20, 4100}, {284 << 20, 4200}, {424 << 20, 10250}, {536 << 20, 8192}, {1 << 30, 1024}, {1 << 30, 0},
		} {
			l := NewCallerLimits(k.memory, k.descriptors)
			requests := int(l.RequestMemory / l.RequestBytes)
			So(l.Connections, ShouldBeGreaterThan, 0)
			So(requests, ShouldBeGreaterThan, 0)
			So(requests, ShouldBeLessThanOrEqualTo, l.ServerConnections)
			So(l.Connections+l.ServerConnections+filesReserve, ShouldBeLessThanOrEqualTo, max(k.descriptors, filesReserve+requestDivisor))
		}
	})
	Convey("On the smallest machines, hundreds of requests run at the same time", t, func() {
		l := NewCallerLimits(144<<20, 3075)
		So(l.Connections, ShouldEqual, 1917)
		So(l.RequestMemory/l.RequestBytes, ShouldBeGreaterThan, 900)
	})
}

// TestBytesPerRequest guards against requests in progress on all connections, of which none may be
// closed for another caller, and against servers' bytes that are not counted.
func TestBytesPerRequest(t *testing.T) {
	for _, k := range []struct {
		name         string
		connections  int
		serverBuffer int64
		want         int64
	}{
		{"as many requests as the limit allows", 1000, 0, 10},
		{"few connections", 100, 0, 14}, // 1000 bytes for 75 requests
		{"large buffers of servers", 1000, 64, 74},
		{"no connections", 0, 0, 1000},
	} {
		Convey("Memory of a request: "+k.name, t, func() {
			So(CallerLimits{RequestMemory: 1000, RequestBytes: 10}.BytesPerRequest(k.connections, k.serverBuffer), ShouldEqual, k.want)
		})
	}
}

// TestPeerLimits guards against instances that close each other's connections.
func TestPeerLimits(t *testing.T) {
	Convey("Limits for calls of other instances grow with the process", t, func() {
		So(NewPeerLimits(0, 0), ShouldResemble, CallerLimits{Connections: 512, ConnectionBytes: 12 << 20, RequestMemory: 4 << 20})
		So(NewPeerLimits(144<<20, 3075), ShouldResemble, CallerLimits{Connections: 768, ConnectionBytes: 18 << 20, RequestMemory: 9 << 19})
		So(NewPeerLimits(424<<20, 10250).Connections, ShouldEqual, 2562)
	})
}

// TestCloseConnections answers the load of many callers that stop in the middle of a request
// and stay connected, while others use their connections as they should.
func TestCloseConnections(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	stalled := CallerConn{Phase: CallerIncomplete, Began: ago(3 * time.Second), Progress: ago(2 * time.Second), Bytes: 10}
	stalledLonger := CallerConn{Phase: CallerIncomplete, Began: ago(2 * time.Second), Progress: ago(2100 * time.Millisecond), Bytes: 10}
	arriving := CallerConn{Phase: CallerIncomplete, Began: ago(time.Second), Progress: now, Bytes: 10}
	slow := CallerConn{Phase: CallerIncomplete, Began: ago(9 * time.Second), Progress: ago(100 * time.Millisecond), Bytes: 10}
	idle := CallerConn{Phase: CallerIdle, Began: ago(4 * time.Second), Progress: ago(5 * time.Second), Bytes: 10}
	idleLonger := CallerConn{Phase: CallerIdle, Began: ago(5 * time.Second), Progress: ago(6 * time.Second), Bytes: 10}
	busy := CallerConn{Phase: CallerBusy, Began: ago(time.Minute), Progress: ago(time.Minute), Bytes: 10}
	all := []CallerConn{busy, arriving, idle, stalled, slow, idleLonger, stalledLonger}
	for _, k := range []struct {
		name        string
		connections int
		bytes       int64
		conns       []CallerConn
		want        []int
	}{
		{"none while there is room, however long they stall", 7, 70, all, nil},
		{"the one that has stalled longest is the first", 6, 100, all, []int{6}},
		{"then other stalled ones, then the one idle longest", 4, 100, all, []int{6, 3, 5}},
		{"arriving requests come last, a busy connection never", 0, 100, all, []int{6, 3, 5, 2, 4, 1}},
		{"memory counts as connections do", 100, 50, all, []int{6, 3}},
		{"a new connection gives way to busy ones", 2, 100, []CallerConn{busy, busy, arriving}, []int{2}},
		{"no connection is closed for lack of one to close", 1, 100, []CallerConn{busy, busy}, nil},
	} {
		Convey("Connections to close: "+k.name, t, func() {
			got := CallerLimits{Connections: k.connections, ConnectionBytes: k.bytes}.Close(now, k.conns)
			So(append([]int(nil), got...), ShouldResemble, k.want)
		})
	}
	Convey("Some more are closed at once when a limit is reached", t, func() {
		many := make([]CallerConn, 641)
		for i := range many {
			many[i] = idle
		}
		So(CallerLimits{Connections: 640, ConnectionBytes: 1 << 20}.Close(now, many), ShouldHaveLength, 11)
	})
}

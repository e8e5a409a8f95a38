package policy

import (
	"cmp"
	"slices"
	"time"
)

// StallTime is the time without progress after which a message counts as stalled, for which
// others need not wait.
const StallTime = 500 * time.Millisecond

const (
	// filesReserve is the number of descriptors that are kept for files.
	filesReserve = 200
	// requestDivisor is the part of the other descriptors for connections to backend servers,
	// of which each request in progress needs one. Callers get the rest.
	requestDivisor = 3
	// connectionMemoryDivisor and requestMemoryDivisor are the parts of the memory for the
	// connections of callers and for their requests.
	connectionMemoryDivisor = 4
	requestMemoryDivisor    = 4
	// minRequestBytes is the memory of a request in progress besides its body: what the
	// exchange with a server takes.
	minRequestBytes = 32 << 10
	// closeSlackDivisor is the part of a limit that is freed at once when it is reached, so
	// that not every new connection costs a search.
	closeSlackDivisor = 64
)

// CallerLimits bound what callers take of a process.
type CallerLimits struct {
	// Connections is the largest number of connections, ConnectionBytes the memory that they
	// and the heads of their requests may hold.
	Connections     int
	ConnectionBytes int64
	// RequestMemory is the memory for requests in progress. Each takes RequestBytes besides
	// its body, so that no more are in progress than ServerConnections.
	RequestMemory, RequestBytes int64
	// ServerConnections is the number of connections to backend servers, idle ones included.
	ServerConnections int
}

// NewCallerLimits divides the memory and the descriptors of a process.
func NewCallerLimits(memory int64, descriptors int) CallerLimits {
	usable := max(descriptors-filesReserve, requestDivisor)
	l := CallerLimits{
		Connections: usable - usable/requestDivisor, ConnectionBytes: memory / connectionMemoryDivisor,
		RequestMemory: memory / requestMemoryDivisor, ServerConnections: usable / requestDivisor,
	}
	connections := int64(l.ServerConnections)
	l.RequestBytes = max(minRequestBytes, (l.RequestMemory+connections-1)/connections)
	return l
}

// requestShare is the part of the connections that may have a request in progress. These are not
// closed, so that others need a part of their own.
const requestShare = 0.75

// BytesPerRequest returns the memory that a request in progress takes besides its body, given the
// number of connections for which there is memory and the bytes that the operating system may keep
// of what a server sends. With it, requests keep within their part of the connections.
func (l CallerLimits) BytesPerRequest(connections int, serverBuffer int64) int64 {
	requests := max(int64(requestShare*float64(connections)), 1)
	return max(l.RequestBytes+serverBuffer, (l.RequestMemory+requests-1)/requests)
}

// CallerPhase is what a caller's connection is used for.
type CallerPhase int

// The phases of a connection.
const (
	// CallerBusy is the phase of a connection with a complete request in progress. It is not
	// closed.
	CallerBusy CallerPhase = iota
	// CallerIncomplete is the phase until a request has arrived, also of a connection that
	// has sent nothing yet.
	CallerIncomplete
	// CallerIdle is the phase between requests.
	CallerIdle
)

var callerPhaseNames = [...]string{"busy", "incomplete", "idle"}

// String returns the phase's name, for logs.
func (p CallerPhase) String() string { return callerPhaseNames[p] }

// CallerConn is the state of a caller's connection.
type CallerConn struct {
	Phase CallerPhase
	// Began is when the phase began, Progress when the last bytes were read.
	Began, Progress time.Time
	// Bytes is the memory that the connection holds.
	Bytes int64
}

// closeOrder returns the rank of a connection among those that are closed to make room,
// lowest first, and the time by which the earliest of one rank is the first.
func (c CallerConn) closeOrder(now time.Time) (int, time.Time) {
	switch {
	case c.Phase == CallerIncomplete && now.Sub(c.Progress) >= StallTime:
		return 0, c.Progress
	case c.Phase == CallerIdle:
		return 1, c.Began
	}
	return 2, c.Began
}

// Close returns the indexes of the connections to close so that the others keep within the
// limits: first those of which a request has stalled, then idle ones, then those of which a
// request is arriving, each from the longest. It is empty while all keep within the limits.
func (l CallerLimits) Close(now time.Time, conns []CallerConn) []int {
	var held int64
	var open []int
	for i, c := range conns {
		held += c.Bytes
		if c.Phase != CallerBusy {
			open = append(open, i)
		}
	}
	if len(conns) <= l.Connections && held <= l.ConnectionBytes {
		return nil
	}
	excess, excessBytes := 0, int64(0)
	if len(conns) > l.Connections {
		excess = len(conns) - l.Connections + l.Connections/closeSlackDivisor
	}
	if held > l.ConnectionBytes {
		excessBytes = held - l.ConnectionBytes + l.ConnectionBytes/closeSlackDivisor
	}
	slices.SortFunc(open, func(a, b int) int {
		rankA, timeA := conns[a].closeOrder(now)
		rankB, timeB := conns[b].closeOrder(now)
		return cmp.Or(cmp.Compare(rankA, rankB), timeA.Compare(timeB))
	})
	for n, i := range open {
		if n >= excess && excessBytes <= 0 {
			return open[:n]
		}
		excessBytes -= conns[i].Bytes
	}
	return open
}

// OperatorLimits bound the connections to an address that operators and the platform use.
var OperatorLimits = CallerLimits{Connections: 32, ConnectionBytes: 4 << 20}

const (
	// minPeerConnections, minPeerBytes and minPeerBodies are the limits of the smallest processes
	// for calls of other instances. The divisors are the parts of the descriptors and of the
	// memory on larger ones, which run the stages of others.
	minPeerConnections    = 512
	minPeerBytes          = 12 << 20
	minPeerBodies         = 4 << 20
	peerDescriptorDivisor = 4
	peerMemoryDivisor     = 8
	peerBodyDivisor       = 32
)

// NewPeerLimits returns the limits of connections to the address for calls of other instances,
// without the operating system's buffers, and of the memory for the calls' bodies. 0 means the
// smallest process.
func NewPeerLimits(memory int64, descriptors int) CallerLimits {
	return CallerLimits{
		Connections:     max(minPeerConnections, descriptors/peerDescriptorDivisor),
		ConnectionBytes: max(minPeerBytes, memory/peerMemoryDivisor),
		RequestMemory:   max(minPeerBodies, memory/peerBodyDivisor),
	}
}

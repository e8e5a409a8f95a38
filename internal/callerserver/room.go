package callerserver

import (
	"bytes"
	"cmp"
	"io"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/savoryfold/savoryfold/policy"
)

const (
	// connBytes is the memory of a connection: the buffers and stacks of its goroutines.
	// tlsConnBytes is that of one with TLS.
	connBytes    = 20 << 10
	tlsConnBytes = 64 << 10
	// multiplexedBytes is what a connection of HTTP/2 takes besides: the library's buffers, and
	// what of bodies has arrived and is not read. streamBytes is the memory of one of its
	// requests.
	multiplexedBytes = 32 << 10
	streamBytes      = 64 << 10
	// headLineBytes is the memory of a parsed header besides its name and value.
	headLineBytes = 128
	// tlsHeadFactor is the memory of a head by the bytes that were received of it, while the
	// lines cannot be counted.
	tlsHeadFactor = 26
	// freeHeadBytes is the part of a head that is counted as part of the connection.
	freeHeadBytes = 8 << 10
	// unreadTime bounds the reading of the rest of a body that a handler did not read, which
	// http.Server does before it responds.
	unreadTime = time.Second
	// maxUnreadBytes bounds what http.Server reads of it: chunks of one byte take much processor
	// time. crowdedUnreadBytes is the bound while connections wait to be accepted. lingerBytes and
	// lingerTime bound what is discarded of it then, once the response is written.
	maxUnreadBytes     = 64 << 10
	crowdedUnreadBytes = 16 << 10
	lingerBytes        = 4 << 20
	lingerStep         = 128 << 10
	lingerTime         = time.Second
	// pipelineDelay is the delay of a request that arrived together with the one before.
	pipelineDelay = 250 * time.Millisecond
	// closingTime bounds the wait for connections that are being closed.
	closingTime = time.Second
	// closingDivisor is the part of the memory of connections that those which are being closed may
	// take besides, so that not every new connection waits for the end of another.
	closingDivisor = 4
	// roomLogInterval is the least time between two lines on closed connections.
	roomLogInterval = time.Second
)

// Descriptors returns the number of file descriptors of the process: limit, or what the
// operating system allows if limit is 0.
func Descriptors(limit int) int {
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); limit == 0 && err == nil {
		return int(min(system.Cur, maxDescriptors))
	}
	return cmp.Or(limit, maxDescriptors)
}

// maxDescriptors is the number of descriptors of a process without a limit.
const maxDescriptors = 1 << 20

// room bounds the number and the memory of the callers' connections.
type room struct {
	limits policy.CallerLimits
	// secure is true if callers use TLS, and may use HTTP/2.
	secure bool
	// connBytes is the memory of a connection besides buffers.
	connBytes     int64
	buffers       bufferBytes
	countsBuffers bool
	logger        *slog.Logger
	onClose       func(phase policy.CallerPhase)

	mu       sync.Mutex
	conns    map[*callerConn]struct{} // guarded by mu
	bytes    int64                    // guarded by mu
	closing  int64                    // memory of connections that are being closed; guarded by mu
	changed  chan struct{}            // closed and replaced when closing changes; guarded by mu
	loggedAt time.Time                // guarded by mu
	unlogged int                      // connections closed since then; guarded by mu
}

func newRoom(o Options) *room {
	r := &room{limits: o.Room, connBytes: connBytes, countsBuffers: !o.UncountedBuffers, logger: o.Logger, onClose: o.OnClose, conns: make(map[*callerConn]struct{}), changed: make(chan struct{})}
	if o.TLS != nil {
		r.secure, r.connBytes = true, tlsConnBytes
	}
	if o.Room == (policy.CallerLimits{}) {
		r.limits = policy.CallerLimits{Connections: math.MaxInt, ConnectionBytes: math.MaxInt64}
	}
	return r
}

// bounded reports whether there are any bounds.
func (r *room) bounded() bool { return r.limits.Connections < math.MaxInt }

// add adds a connection. It reports false if there is no room for it, and the connection is
// closed. If it would have to wait for connections that are being closed, and crowded reports
// that others wait to be accepted, it is closed as well, so that these are not kept waiting.
func (r *room) add(c *callerConn, crowded func() bool) bool {
	c.base = r.connBytes
	if r.bounded() {
		buffers := r.buffers.set(c.TCPConn)
		if r.countsBuffers {
			c.base += buffers
		}
	}
	if r.mustWait(c.base) && crowded() {
		r.refuse(c)
		return false
	}
	r.mu.Lock()
	r.conns[c] = struct{}{}
	c.held = c.base
	r.bytes += c.held
	victims := r.pick()
	_, in := r.conns[c]
	r.mu.Unlock()
	r.close(victims)
	if !in {
		r.remove(c) // it has no goroutine yet
	}
	if r.mustWait(0) && !crowded() {
		r.await(c)
	}
	return in
}

// remove removes a connection that has ended. Requests of HTTP/2 may still be in progress on it,
// whose memory counts as closing until they end.
func (r *room) remove(c *callerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, in := r.conns[c]; in {
		delete(r.conns, c)
		r.bytes -= c.held
		r.closing += c.requests
	} else if c.closing {
		r.closing -= r.afterClose(c) - c.requests
	}
	c.closing = false
	c.held = c.requests
	r.wake()
}

// afterClose returns the memory that a connection holds from its close until the goroutine that
// serves it has ended: the operating system's buffers are free at once. The caller holds mu.
func (r *room) afterClose(c *callerConn) int64 { return c.held - (c.base - r.connBytes) }

// wake ends the waits of await, which then look at the state again. The caller holds mu.
func (r *room) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// await waits until there is room for a connection and for those that are closing, whose
// goroutines still hold their memory, or until it is closing itself, for closingTime at most.
func (r *room) await(c *callerConn) {
	var expired <-chan time.Time
	for {
		r.mu.Lock()
		_, in := r.conns[c]
		changed, wait := r.changed, in && r.waits(0)
		r.mu.Unlock()
		if !wait {
			return
		}
		if expired == nil {
			expired = time.After(closingTime)
		}
		select {
		case <-changed:
		case <-expired:
			return
		}
	}
}

// refuse closes a connection that was not added.
func (r *room) refuse(c *callerConn) {
	r.log(1)
	_ = c.TCPConn.Close()
	if r.onClose != nil {
		r.onClose(policy.CallerIncomplete)
	}
}

// waits reports whether a connection for which bytes are not counted yet has to wait for those
// that are being closed. The caller holds mu.
func (r *room) waits(bytes int64) bool {
	return r.closing > 0 && r.bytes+r.closing+bytes > r.limits.ConnectionBytes+r.limits.ConnectionBytes/closingDivisor
}

// mustWait is waits for those who do not hold mu.
func (r *room) mustWait(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waits(bytes)
}

// setHead counts the memory of a head that a connection of HTTP/1 holds, or none on one that
// becomes one of HTTP/2.
func (r *room) setHead(c *callerConn, head int64) {
	held := c.base + max(0, head-freeHeadBytes)
	r.mu.Lock()
	var victims []*callerConn
	if _, in := r.conns[c]; in {
		r.bytes += held - c.held
		c.held = held
		victims = r.pick()
	}
	r.mu.Unlock()
	r.close(victims)
	if head > 0 {
		r.await(c)
	}
}

// addRequest counts the head of a request that shares its connection with others. It reports
// false if there is no room for it. Otherwise endRequest must follow.
func (r *room) addRequest(c *callerConn, head int64) bool {
	r.mu.Lock()
	if _, in := r.conns[c]; !in {
		r.mu.Unlock()
		return false
	}
	r.bytes += head
	c.held += head
	c.requests += head
	victims := r.pick()
	fits := r.bytes <= r.limits.ConnectionBytes && !r.waits(0)
	r.mu.Unlock()
	r.close(victims)
	if !fits {
		r.endRequest(c, head)
	}
	return fits
}

// endRequest ends what addRequest began.
func (r *room) endRequest(c *callerConn, head int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.held -= head
	c.requests -= head
	if _, in := r.conns[c]; in {
		r.bytes -= head
	} else {
		r.closing -= head
		r.wake()
	}
}

// pick returns the connections that have to be closed, which then count as closing. The
// caller holds mu.
func (r *room) pick() []*callerConn {
	if len(r.conns) <= r.limits.Connections && r.bytes <= r.limits.ConnectionBytes {
		return nil
	}
	conns := make([]*callerConn, 0, len(r.conns))
	states := make([]policy.CallerConn, 0, len(r.conns))
	for c := range r.conns {
		conns = append(conns, c)
		states = append(states, c.state(c.held))
	}
	var victims []*callerConn
	for _, i := range r.limits.Close(time.Now(), states) {
		c := conns[i]
		delete(r.conns, c)
		c.closing = true
		close(c.ended)
		r.bytes -= c.held
		r.closing += r.afterClose(c)
		victims = append(victims, c)
	}
	if len(victims) > 0 {
		r.wake()
	}
	return victims
}

// close closes connections that were picked.
func (r *room) close(victims []*callerConn) {
	if len(victims) == 0 {
		return
	}
	r.log(len(victims))
	for _, c := range victims {
		phase := c.state(0).Phase
		// Close waits for a read of the goroutine that serves the connection, which then ends. The
		// caller of close must not: with one core and many callers, that takes a while.
		go c.TCPConn.Close()
		if r.onClose != nil {
			r.onClose(phase)
		}
	}
}

// log logs that connections are closed, at most once in roomLogInterval.
func (r *room) log(closed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged += closed
	if now := time.Now(); now.Sub(r.loggedAt) >= roomLogInterval {
		r.logger.Warn("connections of callers closed for lack of room", "closed", r.unlogged, "open", len(r.conns), "bytes", r.bytes,
			"max_open", r.limits.Connections, "max_bytes", r.limits.ConnectionBytes)
		r.loggedAt, r.unlogged = now, 0
	}
}

// maxConnections returns the number of connections that fit, with one request of HTTP/2 on each if
// callers may use it.
func (r *room) maxConnections() int {
	each := r.connBytes + r.buffers.expected()
	if r.secure {
		each += multiplexedBytes + streamBytes
	}
	return int(min(int64(r.limits.Connections), r.limits.ConnectionBytes/each))
}

// usage returns the number of connections and the memory that they hold.
func (r *room) usage() (connections int, held int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns), r.bytes
}

// headBytes returns the memory of a request's head.
func headBytes(r *http.Request) int64 {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v) + headLineBytes
		}
	}
	return int64(n)
}

// countHead counts what is read of a head, and returns the memory of the head, or 0 while it
// is part of what each connection may hold. The caller holds mu.
func (c *callerConn) countHead(p []byte) int64 {
	if c.multiplexed.Load() {
		c.progress = c.receivedAt
		return 0
	}
	if c.phase == policy.CallerIdle {
		c.setPhase(policy.CallerIncomplete, c.receivedAt)
	}
	c.progress = c.receivedAt
	if !c.reading {
		return 0
	}
	if c.secure {
		c.head += int64(len(p)) * tlsHeadFactor
	} else {
		c.head += int64(len(p) + headLineBytes*bytes.Count(p, []byte{'\n'}))
	}
	if c.head <= freeHeadBytes {
		return 0
	}
	c.large = true
	return c.head
}

// setPhase begins a phase. The caller holds mu.
func (c *callerConn) setPhase(p policy.CallerPhase, now time.Time) {
	c.phase, c.began, c.progress = p, now, now
}

// state returns the state of the connection, which holds a number of bytes.
func (c *callerConn) state(held int64) policy.CallerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return policy.CallerConn{Phase: c.phase, Began: c.began, Progress: c.progress, Bytes: held}
}

// beginRequest records that a head of a number of bytes has been read, and whether the
// request is complete with it. It reports whether the memory of the head has to be counted.
func (c *callerConn) beginRequest(head int64, complete bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.head = false, 0
	if complete {
		c.setPhase(policy.CallerBusy, time.Now())
	}
	counted := c.large || head > freeHeadBytes
	c.large = head > freeHeadBytes
	return counted
}

// awaitRequest records that the connection waits for a request. It reports whether the memory
// of a head was counted until now.
func (c *callerConn) awaitRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	counted := c.large
	c.reading, c.head, c.large, c.hasRead = true, 0, false, false
	c.setPhase(policy.CallerIdle, time.Now())
	return counted
}

// setComplete records that the request has arrived.
func (c *callerConn) setComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(policy.CallerBusy, time.Now())
}

// setMultiplexed records that the connection is one of HTTP/2.
func (r *room) setMultiplexed(c *callerConn) {
	c.multiplexed.Store(true)
	r.mu.Lock()
	if _, in := r.conns[c]; in { // else what it holds is being freed
		c.base += multiplexedBytes
	}
	r.mu.Unlock()
	// What was counted of a head is the handshake. Requests are counted one by one.
	r.setHead(c, 0)
}

// trackStream follows a request of HTTP/2 until it has arrived. The function that it returns must
// be called after the handler.
func (c *callerConn) trackStream(r *http.Request) func() {
	if r.ContentLength == 0 {
		c.countStreams(1, 1)
		return func() { c.countStreams(-1, -1) }
	}
	c.countStreams(1, 0)
	body := &trackedBody{ReadCloser: r.Body, done: func() { c.countStreams(0, 1) }, left: r.ContentLength}
	r.Body = body
	return func() {
		if body.complete {
			c.countStreams(-1, -1)
		} else {
			c.countStreams(-1, 0)
		}
	}
}

// countStreams adds to the numbers of requests and of complete ones of a connection of HTTP/2,
// which is busy while one is complete.
func (c *callerConn) countStreams(requests, complete int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams += requests
	c.completeStreams += complete
	phase := policy.CallerIdle
	switch {
	case c.completeStreams > 0:
		phase = policy.CallerBusy
	case c.streams > 0:
		phase = policy.CallerIncomplete
	}
	if phase != c.phase {
		c.setPhase(phase, time.Now())
	}
}

// delayPipelined delays a request of HTTP/1 that arrived together with the one before while
// connections wait to be accepted: a caller that sends many requests at once would keep others
// waiting. Meanwhile its connection may be closed for others.
func (c *callerConn) delayPipelined() {
	c.mu.Lock()
	pipelined := !c.hasRead
	c.mu.Unlock()
	if !pipelined || !c.crowded() {
		return
	}
	select {
	case <-time.After(pipelineDelay):
	case <-c.ended:
		panic(http.ErrAbortHandler)
	}
}

// trackRequest follows a request of HTTP/1 until it has arrived. The function that it returns
// must be called after the handler.
func (s *Server) trackRequest(conn *callerConn, w http.ResponseWriter, r *http.Request) func() {
	complete := r.ContentLength == 0
	if head := headBytes(r); conn.beginRequest(head, complete) {
		s.room.setHead(conn, head)
	}
	if complete {
		return func() {}
	}
	body := &trackedBody{ReadCloser: r.Body, done: conn.setComplete, left: r.ContentLength}
	r.Body = body
	return func() {
		if !body.complete {
			conn.setUnread(true)
			// The error is ignored: connections of http.Server support read deadlines.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadTime))
		}
	}
}

// trackedBody is the body of a request. It records when it has arrived.
type trackedBody struct {
	io.ReadCloser
	// done is called when it has arrived.
	done func()
	// left is what has not been read yet, negative if the length is unknown.
	left     int64
	complete bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left >= 0 {
		b.left -= int64(n)
	}
	if !b.complete && (err == io.EOF || b.left == 0) {
		b.complete = true
		b.done()
	}
	return n, err
}

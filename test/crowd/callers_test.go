package crowd

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/savoryfold/savoryfold/platform/platformtest"
	"github.com/savoryfold/savoryfold/test/harness"
)

const (
	// callerBuffer is the size of the buffers of a connection at callers that send or read much.
	callerBuffer = 64 << 10
	// stepInterval and stepBytes are the pace of callers that send or read slowly without a
	// pause that an instance could take for the end.
	stepInterval = 100 * time.Millisecond
	stepBytes    = 2 << 10
	// streams is the number of requests of one connection of HTTP/2.
	streams = 16
)

// sendsMuch reports whether callers may be kept waiting while they send.
func (k kind) sendsMuch() bool { return len(k.large) > 0 || k.then != nil || k.protocol != "" }

// converse sends what a caller sends, and does what it does then.
func (k kind) converse(ctx context.Context, conn net.Conn, first string) error {
	if k.protocol != "" {
		secure := tls.Client(conn, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{k.protocol}}) // #nosec: the test's own server
		if err := secure.HandshakeContext(ctx); err != nil {
			return err
		}
		conn = secure
	}
	if _, err := io.WriteString(conn, first); err != nil {
		return err
	}
	for _, part := range k.large {
		if err := sendPart(conn, part); err != nil {
			return err
		}
	}
	if k.then != nil {
		k.then(ctx, conn)
	}
	return nil
}

// sendPart sends a part that callers share, without a copy of all of it for each.
func sendPart(conn net.Conn, part string) error {
	reader, writer := struct{ io.Reader }{strings.NewReader(part)}, struct{ io.Writer }{conn}
	_, err := io.CopyBuffer(writer, reader, make([]byte, callerBuffer))
	return err
}

// every calls do in every stepInterval until it fails or ctx ends.
func every(ctx context.Context, do func() error) {
	for ctx.Err() == nil && do() == nil {
		select {
		case <-time.After(stepInterval):
		case <-ctx.Done():
		}
	}
}

// sendSlowly goes on sending a few bytes at a time.
func sendSlowly(ctx context.Context, conn net.Conn) {
	part := strings.Repeat("x", stepBytes)
	every(ctx, func() error { _, err := io.WriteString(conn, part); return err })
}

// sendSlowChunks goes on sending small chunks.
func sendSlowChunks(ctx context.Context, conn net.Conn) {
	part := strings.Repeat("1\r\nx\r\n", stepBytes)
	every(ctx, func() error { _, err := io.WriteString(conn, part); return err })
}

// sendOn goes on sending without an end.
func sendOn(ctx context.Context, conn net.Conn) {
	part := bytes.Repeat([]byte("x"), callerBuffer)
	for ctx.Err() == nil {
		if _, err := conn.Write(part); err != nil {
			return
		}
	}
}

// readSlowly reads a few bytes at a time.
func readSlowly(ctx context.Context, conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetReadBuffer(stepBytes)
	}
	part := make([]byte, stepBytes)
	every(ctx, func() error { _, err := conn.Read(part); return err })
}

// length returns a header line with the length of a body.
func length(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n", bytes) }

// open returns the start of a chunk of a number of bytes.
func open(bytes int) string { return fmt.Sprintf("%x\r\n", bytes) }

// largestBodies are callers that send bodies up to the limit, of a number of bytes, and stop
// short of their end.
func largestBodies(limit int) []kind {
	body := strings.Repeat("x", limit)
	return []kind{
		{name: "one chunk of the largest body, one byte short of the end", header: chunked, body: open(limit), large: []string{body[1:]}},
		{name: "the largest body in chunks of one byte, without the last one", header: chunked, large: []string{strings.Repeat("1\r\nx\r\n", limit-1)}},
		{name: "the largest body, one byte short of its length", header: length(limit), large: []string{body[1:]}},
		{name: "the largest body, half of it slowly", header: length(limit), large: []string{body[limit/2:]}, then: sendSlowly},
		{name: "the largest body, half of it in slow chunks of one byte", header: chunked, body: open(limit / 2), large: []string{body[limit/2:], "\r\n"}, then: sendSlowChunks},
		{name: "the largest body on a public route", path: "/open/", header: chunked, body: open(limit), large: []string{body[1:]}},
	}
}

// unreadBodies are callers that send much behind a request that an instance does not read on.
func unreadBodies(limit int, path, key string) []kind {
	body := strings.Repeat("x", limit)
	next := "POST " + path + "x HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: next\r\nAuthorization: Bearer " + key + "\r\n" + length(limit) + "\r\n"
	// A JSON text, which the own interface wants.
	whole := `"` + body[2:] + `"`
	return []kind{
		{name: "no valid key, much behind it", header: length(8 * limit), large: []string{body, body, body, body}, key: "none"},
		{name: "no valid key, endless", header: chunked, body: open(1 << 30), then: sendOn, key: "none"},
		{name: "no such route, much behind it", path: "/none/", header: chunked, body: open(8 * limit), large: []string{body, body, body, body}},
		{name: "a body beyond the limit, endless", header: length(1 << 30), then: sendOn},
		{name: "a chunk beyond the limit, endless", header: chunked, body: open(1 << 30), then: sendOn},
		{name: "a body beyond the limit, slowly", header: length(1 << 30), then: sendSlowly},
		{name: "a complete request that waits, others behind it", path: path, header: length(limit), large: []string{whole, next, whole, next, whole, next, whole}},
		{name: "a small complete request that waits, much behind it", path: path, header: length(2), body: `""`, large: []string{next, whole, next, whole, next, whole}},
	}
}

// slowReaders are callers that read their responses slowly.
func slowReaders() []kind {
	next := func(path string) string {
		return "POST " + path + "x HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: next\r\nAuthorization: Bearer " + keyOf(0) + "\r\nContent-Length: 1\r\n\r\nx"
	}
	return []kind{
		{name: "responses that are read slowly", path: "/long/", header: length(1), body: "x", large: []string{strings.Repeat(next("/long/"), 100)}, then: readSlowly},
		{name: "streams that are read slowly", path: "/stream/", header: length(1), body: "x", then: readSlowly},
		{name: "small responses that are not read, many requests", path: "/once/", header: length(1), body: "x", large: []string{strings.Repeat(next("/once/"), 5000)}},
	}
}

// nothing is what a caller sends that sends no ordinary head.
const nothing = " "

// endlessHead returns a head of short and long headers that has no end.
func endlessHead(start string) []string {
	return []string{start + shortHeaders(64<<10), strings.Repeat("X-Long: "+strings.Repeat("x", 4000)+"\r\n", 220)}
}

// internalAddresses are callers at addresses that are not meant for them.
func internalAddresses() []kind {
	readiness := func(p *process) string { return p.readiness }
	metrics := func(p *process) string { return p.metrics }
	peer := func(p *process) string { return p.peer }
	manyRequests := func(path string) []string {
		return []string{strings.Repeat("GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n", 5000)}
	}
	var kinds []kind
	for _, a := range []struct {
		name, path string
		address    func(p *process) string
	}{
		{"readiness", "/api/readyz", readiness}, {"metrics", "/metrics", metrics}, {"peer", "/members", peer},
	} {
		post := "POST " + a.path + " HTTP/1.1\r\nHost: a\r\n"
		kinds = append(kinds,
			kind{name: a.name + ", nothing", address: a.address, raw: nothing},
			kind{name: a.name + ", a head without an end", address: a.address, raw: nothing, large: endlessHead(post)},
			kind{name: a.name + ", requests whose responses are not read", address: a.address, raw: nothing, large: manyRequests(a.path)},
			kind{name: a.name + ", an endless body", address: a.address, raw: nothing, large: []string{post + chunked + "\r\n" + open(1<<30)}, then: sendOn},
		)
	}
	for _, path := range []string{"/stages", "/config", "/records", "/server-turns"} {
		kinds = append(kinds, kind{
			name: "peer, a body one byte short of its length, " + path, address: peer,
			// The body begins as a byte string of CBOR with a length of 1 MiB.
			raw: nothing, large: []string{"POST " + path + " HTTP/1.1\r\nHost: a\r\n" + length(bodyBytes) + "\r\n", "\x5a\x00\x10\x00\x00" + strings.Repeat("x", bodyBytes-6)},
		})
	}
	return kinds
}

// adminAddress are callers at the administration API, without a token.
func adminAddress() []kind {
	admin := func(p *process) string { return p.admin }
	post := "POST /v1/choice HTTP/1.1\r\nHost: a\r\n"
	return []kind{
		{name: "admin, nothing", address: admin, raw: nothing},
		{name: "admin, a head without an end", address: admin, raw: nothing, large: endlessHead(post)},
		{name: "admin, an endless body", address: admin, raw: nothing, large: []string{post + chunked + "\r\n" + open(1<<30)}, then: sendOn},
	}
}

// withTLS returns callers that use TLS, with paths of the own interface.
func withTLS(kinds []kind) []kind {
	out := make([]kind, len(kinds))
	for i, k := range kinds {
		k.name, k.protocol = "TLS, "+k.name, "http/1.1"
		out[i] = k
	}
	return out
}

// frames is what a caller of HTTP/2 sends.
type frames struct {
	bytes.Buffer
	framer *http2.Framer
}

// newFrames returns the start of a connection with settings.
func newFrames(settings ...http2.Setting) *frames {
	f := &frames{}
	f.WriteString(http2.ClientPreface)
	f.framer = http2.NewFramer(&f.Buffer, nil)
	f.must(f.framer.WriteSettings(settings...))
	return f
}

func (f *frames) must(err error) {
	if err != nil {
		panic("crowd: " + err.Error()) // a buffer does not fail
	}
}

// head writes the head of a request, with headers up to a number of bytes. Without an end,
// further headers may follow.
func (f *frames) head(stream uint32, path, key string, size int, end bool) {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, h := range []hpack.HeaderField{
		{Name: ":method", Value: http.MethodPost}, {Name: ":scheme", Value: "https"}, {Name: ":authority", Value: host}, {Name: ":path", Value: path},
		{Name: "authorization", Value: "Bearer " + key}, {Name: "savoryfold-deadline", Value: "20s"},
	} {
		f.must(encoder.WriteField(h))
	}
	for i := 0; block.Len() < size; i++ {
		f.must(encoder.WriteField(hpack.HeaderField{Name: fmt.Sprint("x-", i), Value: strings.Repeat("v", 100), Sensitive: true}))
	}
	first := block.Next(maxFrame)
	f.must(f.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: first, EndHeaders: end && block.Len() == 0}))
	for block.Len() > 0 {
		part := block.Next(maxFrame)
		f.must(f.framer.WriteContinuation(stream, end && block.Len() == 0, part))
	}
}

// maxFrame is the largest frame of HTTP/2 that needs no permission.
const maxFrame = 16 << 10

// data writes a part of a body.
func (f *frames) data(stream uint32, part string, end bool) {
	f.must(f.framer.WriteData(stream, end, []byte(part)))
}

// multiplexed are callers of HTTP/2, which send many requests over each connection.
func multiplexed(path, waitPath, key string) []kind {
	wide := http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20}
	kindOf := func(name string, write func(f *frames, stream uint32), settings ...http2.Setting) kind {
		f := newFrames(settings...)
		for i := range streams {
			write(f, uint32(2*i+1))
		}
		return multiplexedKind(name, f)
	}
	// A connection may receive 64 KiB before the instance permits more.
	part := `"` + strings.Repeat("x", (64<<10-1)/streams-2) + `"`
	kinds := []kind{
		kindOf("bodies without an end", func(f *frames, stream uint32) {
			f.head(stream, path, key, 0, true)
			f.data(stream, part, false)
		}, wide),
		kindOf("no valid key, bodies without an end", func(f *frames, stream uint32) {
			f.head(stream, path, "none", 0, true)
			f.data(stream, part, false)
		}, wide),
		kindOf("requests that wait", func(f *frames, stream uint32) {
			f.head(stream, waitPath, key, 0, true)
			f.data(stream, part, true)
		}, wide),
		kindOf("responses that are not read", func(f *frames, stream uint32) {
			f.head(stream, path, key, 0, true)
			f.data(stream, part, true)
		}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}),
		kindOf("long heads, no bodies", func(f *frames, stream uint32) { f.head(stream, path, key, headerBytes/2, true) }, wide),
	}
	endless := newFrames(wide)
	endless.head(1, path, key, 900<<10, false)
	permitted := newFrames(wide)
	permitted.head(1, path, key, 0, true)
	large := multiplexedKind("a body as large as the instance permits, without an end", permitted)
	large.then = sendPermitted
	return append(kinds, multiplexedKind("a head without an end", endless), large)
}

func multiplexedKind(name string, f *frames) kind {
	return kind{name: "HTTP/2, " + name, protocol: http2.NextProtoTLS, raw: nothing, large: []string{f.String()}}
}

// sendPermitted sends a body on stream 1 as the instance permits, up to half of the limit.
func sendPermitted(ctx context.Context, conn net.Conn) {
	framer := http2.NewFramer(conn, conn)
	const initial = 64<<10 - 1
	stream, connection, left := initial, initial, bodyBytes/2
	data := make([]byte, maxFrame)
	for ctx.Err() == nil {
		for n := min(stream, connection, left, maxFrame); n > 0; n = min(stream, connection, left, maxFrame) {
			if framer.WriteData(1, false, data[:n]) != nil {
				return
			}
			stream, connection, left = stream-n, connection-n, left-n
		}
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if v, ok := frame.Value(http2.SettingInitialWindowSize); ok {
				stream += int(v) - initial
			}
			if !frame.IsAck() {
				_ = framer.WriteSettingsAck()
			}
		case *http2.WindowUpdateFrame:
			if frame.StreamID == 0 {
				connection += int(frame.Increment)
			} else {
				stream += int(frame.Increment)
			}
		}
	}
}

// clientTLS returns a client for ordinary requests over TLS, each on a connection of its own.
func clientTLS() *http.Client {
	return &http.Client{Transport: &http.Transport{
		ForceAttemptHTTP2: true, DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, // #nosec: the test's own server
	}}
}

// sendTLS sends an ordinary request over TLS.
func (p *process) sendTLS(ctx context.Context, q platformtest.Request) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, q.Method, "https://"+q.Address+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+q.APIKey)
	r.Header.Set("Savoryfold-Deadline", q.Timeout.String())
	return p.client.Do(r)
}

// playKinds plays one kind of callers after the other, each with an instance of its own.
func playKinds(t *testing.T, kinds []kind, start func(t *testing.T) *process) {
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) { play(t, start(t), callers, &crowd{kinds: []kind{k}}) })
	}
}

// build builds the programs. Their processes have one core, as the smallest machines.
func build(t *testing.T) harness.Binaries {
	t.Setenv("GOMAXPROCS", "1")
	programs, err := harness.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return programs
}

package peerquic

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/savoryfold/savoryfold/peer"
)

// Error codes for closing connections and canceling streams.
const (
	codeDone      quic.ApplicationErrorCode = 0
	codeForbidden quic.ApplicationErrorCode = 1
	// codeDrained: requests without a response did not run and will not run.
	codeDrained  quic.ApplicationErrorCode = 2
	codeCanceled quic.StreamErrorCode      = 1
)

// Timeouts of a stream.
const (
	frameTimeout       = 10 * time.Second // to read a request or write a response
	responseAckTimeout = 2 * time.Second  // until the caller confirms the response
)

// accept accepts connections of other instances until the module stops.
func (p *Peers) accept() {
	for {
		conn, err := p.listener.Accept(p.runContext)
		if err != nil {
			return
		}
		p.background.Go(func() { p.serveConn(conn) })
	}
}

func (p *Peers) serveConn(conn *quic.Conn) {
	from, err := p.authenticateDialer(conn)
	if err != nil {
		p.host.Counter(`peer_refused{reason="credentials"}`).Inc(1)
		_ = conn.CloseWithError(codeForbidden, "not accepted")
		return
	}
	for {
		stream, err := conn.AcceptStream(p.runContext)
		if err != nil {
			_ = conn.CloseWithError(p.closeCode(), "")
			return
		}
		p.background.Go(func() { p.serveStream(stream, from) })
	}
}

// closeCode returns the error code for closing a connection. It tells the other
// side whether requests without a response may have run.
func (p *Peers) closeCode() quic.ApplicationErrorCode {
	if p.requests.drained() {
		return codeDrained
	}
	return codeDone
}

// authenticateDialer returns the ID of the instance that opened the connection,
// from its certificate or, if that does not authenticate it, after both sides
// proved that they know the shared secret.
func (p *Peers) authenticateDialer(conn *quic.Conn) (string, error) {
	state := conn.ConnectionState().TLS
	if !p.credentials.SelfIssued() {
		return peer.CertificateID(state.PeerCertificates[0]), nil
	}
	ctx, cancel := context.WithTimeout(p.runContext, helloTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return "", err
	}
	_ = stream.SetDeadline(time.Now().Add(helloTimeout))
	hello, err := peer.ReadFrame[peer.Hello](stream, maxHelloSize)
	if err != nil {
		return "", err
	}
	if err := hello.Verify(peer.Dialer, state, p.keyring.Secrets()); err != nil {
		return "", err
	}
	if err := p.sendHello(stream, conn, peer.Listener); err != nil {
		return "", err
	}
	return hello.ID, stream.Close()
}

func (p *Peers) sendHello(stream *quic.Stream, conn *quic.Conn, side peer.Side) error {
	hello, err := peer.NewHello(p.host.ID(), side, conn.ConnectionState().TLS, p.keyring.Secrets())
	if err != nil {
		return err
	}
	frame, err := peer.EncodeFrame(&hello, maxHelloSize)
	if err != nil {
		return err
	}
	_, err = stream.Write(frame)
	return err
}

// serveStream reads one request and responds to it.
func (p *Peers) serveStream(stream *quic.Stream, from string) {
	_ = stream.SetReadDeadline(time.Now().Add(frameTimeout))
	request, err := peer.ReadFrame[peer.Request](stream, p.maxMessage)
	if err != nil {
		p.host.Counter(`peer_refused{reason="form"}`).Inc(1)
		stream.CancelRead(codeCanceled)
		stream.CancelWrite(codeCanceled)
		return
	}
	label := `{method="` + p.methodLabel(request.Method) + `"}`
	p.host.Counter("peer_received_requests" + label).Inc(1)
	p.host.Counter("peer_received_bytes" + label).Inc(int64(len(request.Body)))
	accepted := p.requests.enter()
	if accepted {
		defer p.requests.leave()
	}
	p.respond(stream, request, from, accepted, label)
}

// respond runs the request if it was accepted, writes the response and waits until
// the caller confirms it, so that Stop does not close the connection before the
// response arrived.
func (p *Peers) respond(stream *quic.Stream, request *peer.Request, from string, accepted bool, label string) {
	start := time.Now()
	response := peer.Response{Code: peer.ResponseNotRun, Message: "the instance stops"}
	if accepted {
		response = p.handle(stream.Context(), request, from)
	}
	p.host.Counter("peer_handler_nanoseconds" + label).Inc(int64(time.Since(start)))
	frame, err := peer.EncodeFrame(&response, p.maxMessage)
	if err != nil {
		frame, _ = peer.EncodeFrame(&peer.Response{Code: peer.ResponseError, Message: err.Error()}, p.maxMessage)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(frameTimeout))
	if _, err := stream.Write(frame); err != nil {
		p.recordUnconfirmed(err)
		stream.CancelWrite(codeCanceled)
		return
	}
	_ = stream.Close()
	_ = stream.SetReadDeadline(time.Now().Add(responseAckTimeout))
	if err := awaitEOF(stream); err != nil {
		p.recordUnconfirmed(err)
	}
}

// recordUnconfirmed records that a caller may still wait for its response. Only a
// timeout is recorded: a caller that canceled the stream or lost the connection
// does not wait.
func (p *Peers) recordUnconfirmed(cause error) {
	if errors.Is(cause, os.ErrDeadlineExceeded) {
		p.requests.markUnconfirmed()
	}
}

// methodLabel returns the method's name as a metric label, or "unknown" without a
// handler, so that callers cannot create arbitrary labels.
func (p *Peers) methodLabel(method string) string {
	if p.handler(method) == nil {
		return "unknown"
	}
	return method
}

// handle runs the handler of a request with the caller's deadline. The handler's
// context is also canceled when Stop stops waiting for handlers.
func (p *Peers) handle(ctx context.Context, request *peer.Request, from string) peer.Response {
	handler := p.handler(request.Method)
	if handler == nil {
		return peer.Response{Code: peer.ResponseNotRun, Message: "unknown method"}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.TimeLeftMS)*time.Millisecond)
	defer cancel()
	defer context.AfterFunc(p.handlerContext, cancel)()
	body, err := handler(ctx, from, request.Body)
	if err != nil {
		return peer.Response{Code: peer.ResponseError, Message: err.Error()}
	}
	return peer.Response{Code: peer.ResponseOK, Body: body}
}

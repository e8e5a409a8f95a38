package peerquic

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/peer"
)

// Call implements kernel.Peers.
func (p *Peers) Call(ctx context.Context, member kernel.Member, method string, body []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.callTimeout)
		defer cancel()
	}
	start := time.Now()
	responseBody, err := p.call(ctx, member, method, body)
	label := `{method="` + method + `",result="` + resultLabel(err) + `"}`
	p.host.Counter("peer_sent_requests" + label).Inc(1)
	p.host.Counter(`peer_sent_bytes{method="` + method + `"}`).Inc(int64(len(body)))
	p.host.Counter(`peer_call_nanoseconds{method="` + method + `"}`).Inc(int64(time.Since(start)))
	return responseBody, err
}

func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, kernel.ErrPeerNotDelivered):
		return "not-delivered"
	case errors.Is(err, kernel.ErrPeerResultUnknown):
		return "unknown"
	}
	return "error"
}

func (p *Peers) call(ctx context.Context, member kernel.Member, method string, body []byte) ([]byte, error) {
	if member.ID == p.host.ID() {
		return p.callSelf(ctx, method, body)
	}
	if p.transport == nil || member.PeerAddress == "" {
		return nil, errors.WithMessage(kernel.ErrPeerNotDelivered, "no local listener or no peer address of instance "+member.ID)
	}
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if left <= 0 {
		return nil, errors.WithMessage(kernel.ErrPeerNotDelivered, "deadline exceeded before the request was sent")
	}
	frame, err := peer.EncodeFrame(&peer.Request{Method: method, TimeLeftMS: uint32(min(left.Milliseconds()+1, 1<<31)), Body: body}, p.maxMessage)
	if err != nil {
		return nil, notDeliveredError(err)
	}
	l := p.link(member)
	defer l.release()
	conn, err := l.connect(ctx, p)
	if err != nil {
		return nil, notDeliveredError(err)
	}
	response, err := p.exchange(ctx, conn, frame)
	if err != nil {
		// The connection may be dead although the other side is reachable, so
		// the next request opens a new one.
		l.retire(conn)
		return nil, err
	}
	return responseResult(response, member.ID, method)
}

func responseResult(r *peer.Response, member, method string) ([]byte, error) {
	switch r.Code {
	case peer.ResponseOK:
		return r.Body, nil
	case peer.ResponseNotRun:
		return nil, errors.WithMessage(kernel.ErrPeerNotDelivered, r.Message)
	}
	return nil, &kernel.PeerError{Member: member, Method: method, Message: r.Message}
}

// callSelf runs a request to the instance itself without a connection.
func (p *Peers) callSelf(ctx context.Context, method string, body []byte) ([]byte, error) {
	handler := p.handler(method)
	if handler == nil {
		return nil, errors.WithMessage(kernel.ErrPeerNotDelivered, "unknown method")
	}
	responseBody, err := handler(ctx, p.host.ID(), body)
	if err != nil {
		return nil, &kernel.PeerError{Member: p.host.ID(), Method: method, Message: err.Error()}
	}
	return responseBody, nil
}

// exchange sends a request on a new stream and reads the response. If the frame
// was not written completely, the request was not delivered: the other side runs
// only requests whose frame is complete.
func (p *Peers) exchange(ctx context.Context, conn *quic.Conn, frame []byte) (*peer.Response, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, notDeliveredError(err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCanceled)
		stream.CancelWrite(codeCanceled)
	})
	defer stop()
	if n, err := stream.Write(frame); n < len(frame) {
		stream.CancelWrite(codeCanceled)
		stream.CancelRead(codeCanceled)
		return nil, notDeliveredError(err)
	}
	response, err := peer.ReadFrame[peer.Response](stream, p.maxMessage)
	if err != nil {
		stream.CancelWrite(codeCanceled)
		stream.CancelRead(codeCanceled)
		return nil, unansweredError(err)
	}
	// Closing the sending side confirms to the other side that the response
	// arrived.
	_ = stream.Close()
	_ = awaitEOF(stream)
	return response, nil
}

// awaitEOF reads a stream up to its end, which completes its receiving side. More
// data is an error.
func awaitEOF(stream *quic.Stream) error {
	_, err := stream.Read(make([]byte, 1))
	if errors.Is(err, io.EOF) {
		return nil
	}
	stream.CancelRead(codeCanceled)
	if err == nil {
		return errors.New("the stream holds more than one frame")
	}
	return err
}

// unansweredError returns the error for a request that was sent but got no
// response. The handler may have run, unless the other side closed the connection
// with codeDrained.
func unansweredError(cause error) error {
	var closed *quic.ApplicationError
	if errors.As(cause, &closed) && closed.Remote && closed.ErrorCode == codeDrained {
		return notDeliveredError(cause)
	}
	return errors.WithMessage(kernel.ErrPeerResultUnknown, cause.Error())
}

func notDeliveredError(cause error) error {
	return errors.WithMessage(kernel.ErrPeerNotDelivered, cause.Error())
}

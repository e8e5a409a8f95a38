package callerserver

import (
	"io"
	"net/http"

	"github.com/savoryfold/savoryfold/internal/body"
	"github.com/savoryfold/savoryfold/internal/membudget"
)

// ReadBody reads the body of a request, of a length of at least 0 or up to its end, into memory
// that hold counts. The body must be freed, unless there is an error.
func ReadBody(source io.Reader, hold *membudget.Hold, length, limit int64) (*body.Body, error) {
	b := body.New()
	err := b.Fill(source, hold, length, limit)
	if err == io.EOF {
		return b, nil
	}
	counted := b.Counted()
	b.Free(func() { hold.Shrink(counted) })
	return nil, err
}

// ReadWhole reads the body of a request as ReadBody does, into one piece of memory.
func ReadWhole(source io.Reader, hold *membudget.Hold, length, limit int64) ([]byte, error) {
	b, err := ReadBody(source, hold, length, limit)
	if err != nil {
		return nil, err
	}
	counted := b.Counted()
	defer b.Free(func() { hold.Shrink(counted) })
	if err := hold.Grow(int64(b.Size())); err != nil {
		return nil, err
	}
	return b.Join(), nil
}

// Abandonable lets the reading of a request's body end at once for lack of memory, until
// hold.MayAbandon(nil).
func Abandonable(hold *membudget.Hold, w http.ResponseWriter) {
	control := http.NewResponseController(w)
	// The error is ignored: connections of http.Server support read deadlines.
	hold.MayAbandon(func() { _ = control.SetReadDeadline(past) })
}

// BeginResponse lets a complete request of HTTP/2 end for lack of memory while its caller does not
// read the response, until the function that it returns is called, which writes what is buffered.
// With HTTP/1, AbandonUnread does this.
func BeginResponse(w http.ResponseWriter, r *http.Request, hold *membudget.Hold) (end func()) {
	if r.ProtoMajor == 1 {
		return func() {}
	}
	control := http.NewResponseController(w)
	hold.MayAbandonStalled(func() { _ = control.SetWriteDeadline(past) })
	return func() {
		_ = control.Flush() // a caller that has disconnected needs no response
		hold.MayAbandon(nil)
	}
}

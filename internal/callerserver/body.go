package callerserver

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/membudget"
)

const (
	// firstBodyBytes is the size of the first buffer of a body.
	firstBodyBytes = 4 << 10
	// progressBytes is the part of a body that counts as progress when it arrives.
	progressBytes = 1 << 10
)

// ReadBody reads the body of a request. Only what has arrived is counted, and room
// for as much again. A body with a length has no other memory than that.
func ReadBody(source io.Reader, hold *membudget.Hold, length, limit int64) ([]byte, error) {
	size := int64(firstBodyBytes)
	if length >= 0 {
		size = min(size, length)
	}
	var data []byte
	progress := 0
	for {
		if len(data) == cap(data) {
			if int64(cap(data)) == length {
				return data, nil
			}
			size = max(size, 2*int64(cap(data)))
			if length >= 0 {
				size = min(size, length)
			}
			// Both buffers are in memory while the old one is copied.
			if err := hold.Grow(size); err != nil {
				return nil, err
			}
			old := cap(data)
			data = append(make([]byte, 0, size), data...)
			hold.Shrink(int64(old))
		}
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if len(data)-progress >= progressBytes {
			progress = len(data)
			hold.Progress()
		}
		switch {
		case int64(len(data)) > limit:
			return nil, ErrBodyTooLarge
		case hold.Ended():
			return nil, membudget.ErrNoMemory
		case err == io.EOF && (length < 0 || int64(len(data)) == length):
			return data, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// ErrBodyTooLarge means that the body of a request exceeds the limit of the configuration.
var ErrBodyTooLarge = errors.New("the body of the request is too large")

// Abandonable lets the reading of a request's body end at once for lack of memory, until
// hold.MayAbandon(nil).
func Abandonable(hold *membudget.Hold, w http.ResponseWriter) {
	control := http.NewResponseController(w)
	// The error is ignored: connections of http.Server support read deadlines.
	hold.MayAbandon(func() { _ = control.SetReadDeadline(past) })
}

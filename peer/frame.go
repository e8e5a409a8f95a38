package peer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// lengthPrefixSize is the size in bytes of the big-endian length that precedes
// each frame.
const lengthPrefixSize = 4

// MaxMethodLength is the maximum length of a method name in bytes.
const MaxMethodLength = 64

// Errors of EncodeFrame and ReadFrame.
var (
	ErrFrameTooLarge  = errors.New("frame is larger than accepted")
	ErrFrameMalformed = errors.New("malformed frame")
)

// Request is the frame of a request.
type Request struct {
	_      struct{} `cbor:",toarray"`
	Method string
	// TimeLeftMS is the time until the caller's deadline in milliseconds.
	TimeLeftMS uint32
	Body       []byte
}

// ResponseCode is the result of a request.
type ResponseCode uint8

// Response codes.
const (
	// ResponseOK: the handler succeeded.
	ResponseOK ResponseCode = iota
	// ResponseError: the handler ran and returned an error.
	ResponseError
	// ResponseNotRun: no handler ran.
	ResponseNotRun
)

// Response is the frame of a response. Message describes the failure if Code is
// not ResponseOK.
type Response struct {
	_       struct{} `cbor:",toarray"`
	Code    ResponseCode
	Message string
	Body    []byte
}

// Frame is the set of types that are sent as frames.
type Frame interface{ Request | Response | Hello }

// EncodeFrame encodes a frame with its length prefix. It returns
// ErrFrameTooLarge if the frame is larger than limit bytes without the prefix.
func EncodeFrame[T Frame](v *T, limit int) ([]byte, error) {
	body, err := encoder.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(body) > limit {
		return nil, ErrFrameTooLarge
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, lengthPrefixSize+len(body)), uint32(len(body))), body...), nil
}

// ReadFrame reads a frame of at most limit bytes, the length prefix not included.
// It returns ErrFrameTooLarge if the length prefix exceeds the limit, and
// ErrFrameMalformed if the content cannot be decoded.
func ReadFrame[T Frame](r io.Reader, limit int) (*T, error) {
	var length [lengthPrefixSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	size := binary.BigEndian.Uint32(length[:])
	if uint64(size) > uint64(limit) {
		return nil, ErrFrameTooLarge
	}
	// ReadAll grows its buffer as data arrives, so that a length prefix alone
	// does not allocate memory.
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	if len(body) != int(size) {
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "read frame")
	}
	return decodeFrame[T](body)
}

func decodeFrame[T Frame](body []byte) (*T, error) {
	v := new(T)
	if err := decoder.Unmarshal(body, v); err != nil {
		return nil, ErrFrameMalformed
	}
	if r, ok := any(v).(*Request); ok && (r.Method == "" || len(r.Method) > MaxMethodLength) {
		return nil, ErrFrameMalformed
	}
	if r, ok := any(v).(*Response); ok && r.Code > ResponseNotRun {
		return nil, ErrFrameMalformed
	}
	return v, nil
}

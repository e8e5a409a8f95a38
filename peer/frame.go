package peer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// lengthPrefixSize is the size of the length before each frame.
const lengthPrefixSize = 4

// MaxMethodLength bounds the length of a method's name.
const MaxMethodLength = 64

// Errors of frames.
var (
	ErrFrameTooLarge  = errors.New("frame is larger than accepted")
	ErrFrameMalformed = errors.New("frame has a wrong form")
)

// Request is the frame that asks.
type Request struct {
	_      struct{} `cbor:",toarray"`
	Method string
	// TimeLeftMS is the time until the caller's deadline.
	TimeLeftMS uint32
	Body       []byte
}

// ResponseCode says how a request ended.
type ResponseCode uint8

// The codes.
const (
	// ResponseOK: the handler answered.
	ResponseOK ResponseCode = iota
	// ResponseError: the handler ran and returned an error.
	ResponseError
	// ResponseNotRun: no handler ran.
	ResponseNotRun
)

// Response is the frame that answers.
type Response struct {
	_       struct{} `cbor:",toarray"`
	Code    ResponseCode
	Message string
	Body    []byte
}

// Frame is a value that is sent as one frame.
type Frame interface{ Request | Response | Hello }

// EncodeFrame returns a frame with its length.
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

// ReadFrame reads one frame of at most limit bytes.
func ReadFrame[T Frame](r io.Reader, limit int) (*T, error) {
	var length [lengthPrefixSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	size := binary.BigEndian.Uint32(length[:])
	if uint64(size) > uint64(limit) {
		return nil, ErrFrameTooLarge
	}
	// The reader grows its buffer with what arrives, so that a length alone
	// takes no memory.
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

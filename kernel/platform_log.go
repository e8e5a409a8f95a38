package kernel

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record to a stream and returns its offset. The error is
	// ErrLogUnavailable if the record is known not to have been added, and
	// ErrAppendUnknown if the result is unknown.
	Append(ctx context.Context, stream string, record []byte) (uint64, error)
	// Read returns the records at and after an offset. It waits at most wait for
	// the first one.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (LogBatch, error)
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset uint64 `json:"offset"`
	// Time is the time of the append by the log service's clock. It never
	// decreases within a stream.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// LogBatch is the result of a read.
type LogBatch struct {
	Records []LogRecord `json:"records"`
	// First is the oldest retained offset. A reader that asked for an older one
	// has missed records.
	First uint64 `json:"first"`
	// FirstTime is the time of the record at First, zero if there is none.
	FirstTime time.Time `json:"first_time"`
	// Next is the offset that the stream's next record will get. Offsets begin
	// at 1.
	Next uint64 `json:"next"`
	// Era is 1 more than the number of times the log was restored from an older copy, or 0
	// if the log does not state it. Offsets of an earlier era have no meaning in a later one.
	Era uint64 `json:"era"`
}

// Errors of the log service.
var (
	ErrLogUnavailable = errors.New("log service unavailable")
	ErrAppendUnknown  = errors.New("append was sent, its result is not known")
)

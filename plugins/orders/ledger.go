package orders

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
)

// stream is the log stream of orders.
const stream = "orders"

const (
	// recordMaxAge is how long a recorded order counts as pending while the
	// engine does not report that it was carried out.
	recordMaxAge = 10 * time.Second
	// readBackTimeout bounds the wait until an appended record is read back. It
	// also applies if the append got no response.
	readBackTimeout = time.Second
)

// orderRecord is a record of the stream "orders". Its offset is the fencing
// token of the order.
type orderRecord struct {
	ID       string `cbor:"1,keyasint"`
	Server   string `cbor:"2,keyasint"`
	Version  string `cbor:"3,keyasint"`
	Revision uint64 `cbor:"4,keyasint"` // of the tables that specify the version
	Instance string `cbor:"5,keyasint"`
}

// ledger appends orders to the log and reads those of all instances. It is not
// safe for concurrent use.
type ledger struct {
	log    kernel.Log
	next   uint64
	recent []recentOrder
	// newestRevision is the highest revision of the tables in an order, by server.
	newestRevision map[string]uint64
}

// recentOrder is an order that was read from the log.
type recentOrder struct {
	orderRecord
	offset uint64
	readAt time.Time
	// dropped is true if this instance recorded the order and will not send it.
	dropped bool
}

var recordDecoder = newRecordDecoder()

func newRecordDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 4, MaxMapPairs: 64, MaxArrayElements: 64, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic("orders: " + err.Error())
	}
	return mode
}

func decodeOrder(data []byte) (orderRecord, error) {
	var r orderRecord
	err := recordDecoder.Unmarshal(data, &r)
	return r, errors.Wrap(err, "order record")
}

// issue appends a record, reads it back and returns its offset. The offset is 0
// and the error set if the record is not on the log, or was not read back within
// readBackTimeout and may still be there.
func (l *ledger) issue(ctx context.Context, r orderRecord) (uint64, error) {
	r.ID = uuid.NewString()
	data, err := cbor.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "order record")
	}
	_, err = l.log.Append(ctx, stream, data)
	if errors.Is(err, kernel.ErrLogUnavailable) {
		return 0, err
	}
	deadline := time.Now().Add(readBackTimeout)
	for {
		if err := l.read(ctx, time.Until(deadline)); err != nil {
			return 0, err
		}
		for _, p := range l.recent {
			if p.ID == r.ID {
				return p.offset, nil
			}
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return 0, errors.New("appended order was not read back in time")
		}
	}
}

// read reads the records that were appended since the last read, and drops
// orders older than recordMaxAge.
func (l *ledger) read(ctx context.Context, wait time.Duration) error {
	for {
		batch, err := l.log.Read(ctx, stream, max(1, l.next), max(0, wait))
		if err != nil {
			return err
		}
		l.next = max(l.next, batch.First)
		for _, rec := range batch.Records {
			l.next = max(l.next, rec.Offset+1)
			l.add(rec)
		}
		if len(batch.Records) == 0 || l.next >= batch.Next {
			break
		}
	}
	l.recent = slices.DeleteFunc(l.recent, func(p recentOrder) bool { return time.Since(p.readAt) > recordMaxAge })
	return nil
}

func (l *ledger) add(rec kernel.LogRecord) {
	r, err := decodeOrder(rec.Data)
	if err != nil {
		return
	}
	if l.newestRevision == nil {
		l.newestRevision = make(map[string]uint64)
	}
	l.newestRevision[r.Server] = max(l.newestRevision[r.Server], r.Revision)
	l.recent = append(l.recent, recentOrder{orderRecord: r, offset: rec.Offset, readAt: time.Now()})
}

// drop marks an order of this instance that will not be sent.
func (l *ledger) drop(offset uint64) {
	for i := range l.recent {
		if l.recent[i].offset == offset {
			l.recent[i].dropped = true
		}
	}
}

// pending returns the servers with an order recorded before the given offset
// that their engines have not carried out yet.
func (l *ledger) pending(before uint64, states map[string]engineState) map[string]bool {
	out := make(map[string]bool)
	for _, p := range l.recent {
		state, ok := states[p.Server]
		carriedOut := ok && !state.Loading && (state.Fence >= p.offset || state.Version == p.Version)
		if p.offset < before && !p.dropped && !carriedOut {
			out[p.Server] = true
		}
	}
	return out
}

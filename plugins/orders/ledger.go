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

// stream holds the records of orders.
const stream = "orders"

// Times of the ledger.
const (
	// recordAge is the time for which a recorded order counts as being carried
	// out, whether the engine says so yet or not.
	recordAge = 10 * time.Second
	// settleWait is the time that a record whose append has no answer may take
	// to be read back.
	settleWait = time.Second
)

// orderRecord is a record of the stream "orders". Its offset is the fencing
// number of the order.
type orderRecord struct {
	ID       string `cbor:"1,keyasint"`
	Server   string `cbor:"2,keyasint"`
	Version  string `cbor:"3,keyasint"`
	Revision uint64 `cbor:"4,keyasint"` // of the tables that ask for the version
	Instance string `cbor:"5,keyasint"`
}

// ledger keeps orders on the log. It is not safe for concurrent use.
type ledger struct {
	log    kernel.Log
	next   uint64
	recent []placedOrder
	// newest is the highest revision of the tables that asked for a version of
	// each server.
	newest map[string]uint64
}

// placedOrder is a record that was read.
type placedOrder struct {
	orderRecord
	offset uint64
	seen   time.Time
	// dropped is true if this instance recorded the order and did not send it.
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

// issue appends a record and reads it back. It returns its offset, which is 0
// if the record is not on the log or was not read back in time.
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
	deadline := time.Now().Add(settleWait)
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
			return 0, errors.New("the order was not read back")
		}
	}
}

// read takes the records that were appended since the last read.
func (l *ledger) read(ctx context.Context, wait time.Duration) error {
	for {
		batch, err := l.log.Read(ctx, stream, max(1, l.next), max(0, wait))
		if err != nil {
			return err
		}
		l.next = max(l.next, batch.First)
		for _, rec := range batch.Records {
			l.next = max(l.next, rec.Offset+1)
			l.take(rec)
		}
		if len(batch.Records) == 0 || l.next >= batch.Next {
			break
		}
	}
	l.recent = slices.DeleteFunc(l.recent, func(p placedOrder) bool { return time.Since(p.seen) > recordAge })
	return nil
}

func (l *ledger) take(rec kernel.LogRecord) {
	r, err := decodeOrder(rec.Data)
	if err != nil {
		return
	}
	if l.newest == nil {
		l.newest = make(map[string]uint64)
	}
	l.newest[r.Server] = max(l.newest[r.Server], r.Revision)
	l.recent = append(l.recent, placedOrder{orderRecord: r, offset: rec.Offset, seen: time.Now()})
}

// drop notes that an order of this instance is not sent.
func (l *ledger) drop(offset uint64) {
	for i := range l.recent {
		if l.recent[i].offset == offset {
			l.recent[i].dropped = true
		}
	}
}

// underWay returns the servers with an order recorded before the offset that
// their engines have not carried out yet.
func (l *ledger) underWay(before uint64, states map[string]engineState) map[string]bool {
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

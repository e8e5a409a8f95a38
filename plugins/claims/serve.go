package claims

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/policy/claim"
)

// maxUnfinishedSlots limits the response to an unfinishedCall.
const maxUnfinishedSlots = 2000

// decodeAppend decodes and validates an appendCall.
func decodeAppend(body []byte, shards int) (appendCall, error) {
	var c appendCall
	if err := claim.Unmarshal(body, &c); err != nil {
		return c, errors.Wrap(err, methodAppend)
	}
	if c.Shard < 0 || c.Shard >= shards || len(c.Entries) == 0 || len(c.Entries) > claim.MaxEntries {
		return c, errors.New(methodAppend + ": no such shard, or no entries")
	}
	for _, e := range c.Entries {
		if err := e.Validate(); err != nil {
			return c, errors.Wrap(err, methodAppend)
		}
	}
	return c, nil
}

// decodeRead decodes and validates a readCall.
func decodeRead(body []byte, shards int) (readCall, error) {
	var c readCall
	if err := claim.Unmarshal(body, &c); err != nil {
		return c, errors.Wrap(err, methodRead)
	}
	if c.Shard < 0 || c.Shard >= shards || c.WaitMS < 0 {
		return c, errors.New(methodRead + ": no such shard, or a negative wait")
	}
	return c, nil
}

// serveAppend implements methodAppend.
func (m *Log) serveAppend(ctx context.Context, _ string, body []byte) ([]byte, error) {
	c, err := decodeAppend(body, len(m.shards))
	if err != nil {
		return nil, err
	}
	if !m.begin() {
		return nil, errors.New(methodAppend + ": this instance has stopped")
	}
	defer m.inFlight.Done()
	return cbor.Marshal(replyOf(m.appendLocal(ctx, c.Shard, c.Entries)))
}

// serveRead implements methodRead.
func (m *Log) serveRead(ctx context.Context, _ string, body []byte) ([]byte, error) {
	c, err := decodeRead(body, len(m.shards))
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(c.WaitMS)*time.Millisecond, maxReadWait)
	return cbor.Marshal(replyOf(m.readLocal(ctx, c, wait)))
}

// serveUnfinished implements methodUnfinished.
func (m *Log) serveUnfinished(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var c unfinishedCall
	if err := claim.Unmarshal(body, &c); err != nil {
		return nil, errors.Wrap(err, methodUnfinished)
	}
	if c.Shard < 0 || c.Shard >= len(m.shards) {
		return nil, errors.New(methodUnfinished + ": no such shard")
	}
	slots, err := m.unfinishedLocal(ctx, c.Shard)
	r := replyOf(claim.Finding{}, err)
	r.Unfinished = slots[:min(len(slots), maxUnfinishedSlots)]
	return cbor.Marshal(r)
}

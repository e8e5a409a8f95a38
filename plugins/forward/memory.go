package forward

import (
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/policy"
)

const (
	// defaultMemory is the memory of the process if the memory setting is 0.
	defaultMemory = 1 << 30
	// responseMemoryDivisor is the part of the process's memory for responses that are being
	// read.
	responseMemoryDivisor = 6
	// The requests of one client account may take three quarters of the memory for requests. A
	// service may take half of that for responses, and one of its servers a fifth.
	requestGroupFactor   = 3
	responseGroupFactor  = 1
	responseMemberFactor = 0.25
	// bodyBlockBytes is the size of the first block of a body. Each further one is as large
	// as all before, up to maxBodyBlockBytes.
	bodyBlockBytes    = 4 << 10
	maxBodyBlockBytes = 64 << 10
)

// memory bounds what this instance keeps of messages.
type memory struct {
	requests, responses *membudget.Budget
}

// newMemory returns the budgets for a process with a number of bytes of memory, of which
// callers may take a part.
func (f *Forward) newMemory(bytes int64, callers policy.CallerLimits) memory {
	refused := func(kind string) func(policy.MemoryScope) {
		return func(scope policy.MemoryScope) {
			f.host.Counter(`memory_refused{kind="` + kind + `",scope="` + scope.String() + `"}`).Inc(1)
		}
	}
	return memory{
		requests:  membudget.New(policy.MemoryShares{Limit: callers.RequestMemory, GroupFactor: requestGroupFactor, MemberFactor: requestGroupFactor, StallTime: policy.StallTime}, refused("requests")),
		responses: membudget.New(policy.MemoryShares{Limit: bytes / responseMemoryDivisor, GroupFactor: responseGroupFactor, MemberFactor: responseMemberFactor}, refused("responses")),
	}
}

// publish updates the gauges of the memory in use.
func (m memory) publish(f *Forward) {
	f.host.Gauge(`memory_held_bytes{kind="requests"}`).Update(m.requests.Bytes())
	f.host.Gauge(`memory_held_bytes{kind="responses"}`).Update(m.responses.Bytes())
	open, held := f.entry.Connections()
	f.host.Gauge("caller_connections").Update(int64(open))
	f.host.Gauge(`memory_held_bytes{kind="connections"}`).Update(held)
}

// body is a message body that is kept in blocks, so that it takes no more memory than it
// counts.
type body struct {
	blocks [][]byte
	bytes  int
}

var bodyBlocks = sync.Pool{New: func() any { return new([maxBodyBlockBytes]byte) }}

// readFrom reads a body to its end into memory that is counted for it. The error is io.EOF
// at the end.
func (b *body) readFrom(source io.Reader, hold *membudget.Hold, limit int) error {
	for {
		last := len(b.blocks) - 1
		if last < 0 || len(b.blocks[last]) == cap(b.blocks[last]) {
			size := min(max(b.bytes, bodyBlockBytes), maxBodyBlockBytes)
			if err := hold.Grow(int64(size)); err != nil {
				return err
			}
			if size == maxBodyBlockBytes {
				b.blocks = append(b.blocks, bodyBlocks.Get().(*[maxBodyBlockBytes]byte)[:0])
			} else {
				b.blocks = append(b.blocks, make([]byte, 0, size))
			}
			last++
		}
		block := b.blocks[last]
		n, err := source.Read(block[len(block):cap(block)])
		b.blocks[last] = block[:len(block)+n]
		b.bytes += n
		switch {
		case b.bytes > limit:
			return errResponseTooLarge
		case err == io.EOF:
			return err
		case hold.Ended():
			return membudget.ErrNoMemory
		case err != nil:
			return err
		}
	}
}

// writeTo writes the body.
func (b *body) writeTo(w io.Writer) error {
	for _, block := range b.blocks {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// free makes the blocks available to other bodies.
func (b *body) free() {
	for _, block := range b.blocks {
		if cap(block) == maxBodyBlockBytes {
			bodyBlocks.Put((*[maxBodyBlockBytes]byte)(block[:maxBodyBlockBytes]))
		}
	}
	b.blocks, b.bytes = nil, 0
}

// logNoMemory logs that a response had to end for lack of memory, if that is so.
func (r *request) logNoMemory(c choice, err error) {
	if errors.Is(err, membudget.ErrNoMemory) {
		r.log.Add("response does not fit into the memory", "server", c.server.ID, "service", c.server.Service)
	}
}

// minStreamBytes is the memory of a stream that is not counted.
const minStreamBytes = 16 << 10

// setStream counts what a stream holds of an event that has not ended.
func setStream(hold *membudget.Hold, bytes int) error {
	if hold.Ended() {
		return membudget.ErrNoMemory
	}
	if bytes <= minStreamBytes {
		bytes = 0
	}
	return hold.Set(int64(bytes))
}

// openResponse returns the memory for a response of a server.
func (f *Forward) openResponse(c choice) *membudget.Hold {
	return f.memory.responses.Open(c.server.Service, c.server.ID)
}

// abandonable lets the reading of a response end for lack of memory.
func abandonable(hold *membudget.Hold, x *upstream.Exchange) { hold.MayAbandon(x.Abandon) }

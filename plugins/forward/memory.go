package forward

import (
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
	// serviceFactor lets the complete requests of one service take seven eighths of the memory for
	// requests.
	serviceFactor = 7
)

// memory bounds what this instance keeps of messages.
type memory struct {
	requests, responses *membudget.Budget
	// complete bounds the complete requests of each service.
	complete *membudget.Bulkhead
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
		complete:  membudget.NewBulkhead(policy.Bulkhead{Limit: callers.RequestMemory, Factor: serviceFactor}),
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

package claims

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
)

// Parameters of the search for the starting record.
const (
	// maxFullRead is the number of records up to which a stream is read in full.
	maxFullRead = 2048
	// seekPrecision is the number of records by which the start may precede the
	// latest possible one.
	seekPrecision = 256
)

// load creates the shard state. In a long stream it skips the records that are
// older than the required history.
func (s *shardLog) load(ctx context.Context) error {
	head, err := s.read(ctx, 1)
	if err != nil {
		return err
	}
	if head.Next-head.First <= maxFullRead {
		s.apply(head)
		return nil
	}
	start, err := s.seek(ctx, head)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset(start, head.Era)
	return nil
}

// requiredHistory returns how far back from the newest record a shard state must
// reach. It then covers all claims of keys that can still be claimed, and a
// restatement of each older unfinished claim.
func (m *Log) requiredHistory() time.Duration { return m.rules.Span() + 2*m.restate }

// seek returns the offset of one of the last records that are older than the
// required history, or the first offset if there is none. It uses binary search.
func (s *shardLog) seek(ctx context.Context, head kernel.LogBatch) (uint64, error) {
	tail, err := s.read(ctx, head.Next-1)
	if err != nil {
		return 0, err
	}
	low, high := head.First, head.Next-1
	if len(tail.Records) == 0 {
		return low, nil
	}
	oldest := tail.Records[0].Time.Add(-s.module.requiredHistory())
	for high-low > seekPrecision {
		middle := low + (high-low)/2
		b, err := s.read(ctx, middle)
		if err != nil {
			return 0, err
		}
		if len(b.Records) > 0 && b.Records[0].Time.Before(oldest) {
			low = middle
		} else {
			high = middle
		}
	}
	return low, nil
}

// read reads one batch of records and reports the result to the circuit breaker.
func (s *shardLog) read(ctx context.Context, from uint64) (kernel.LogBatch, error) {
	b, err := s.module.host.Log.Read(ctx, s.stream, from, 0)
	s.module.recordResult(ctx, err)
	if err != nil {
		return b, kernel.ErrLogUnavailable
	}
	return b, nil
}

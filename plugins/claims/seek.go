package claims

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
)

// Bounds of the search for a start.
const (
	// maxFullRead is the length of a stream that is read whole.
	maxFullRead = 2048
	// seekPrecision is how near the start has to be.
	seekPrecision = 256
)

// load begins a fold. Of a long stream it skips the records that are older than
// what the fold needs.
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
	s.reset(start)
	return nil
}

// requiredHistory is the time before the newest record that a fold has to know: all
// claims of keys that may still be claimed, and a restatement of older ones.
func (m *Log) requiredHistory() time.Duration { return m.rules.Span() + 2*m.restate }

// seek searches for the last records that are older than the fold's reach.
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

// read reads one batch and tells the circuit.
func (s *shardLog) read(ctx context.Context, from uint64) (kernel.LogBatch, error) {
	b, err := s.module.host.Log.Read(ctx, s.stream, from, 0)
	s.module.recordResult(ctx, err)
	if err != nil {
		return b, kernel.ErrLogUnavailable
	}
	return b, nil
}

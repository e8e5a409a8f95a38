package claims

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/kernel"
)

// Bounds of the search for a start.
const (
	// seekRecords is the length of a stream that is read whole.
	seekRecords = 2048
	// seekStep is how near the start has to be.
	seekStep = 256
)

// open begins a fold. Of a long stream it skips the records that are older than
// what the fold needs.
func (s *shardLog) open(ctx context.Context) error {
	head, err := s.read(ctx, 1)
	if err != nil {
		return err
	}
	if head.Next-head.First <= seekRecords {
		s.apply(head)
		return nil
	}
	start, err := s.seek(ctx, head)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restart(start)
	return nil
}

// reach is the time before the newest record that a fold has to know: all
// claims of keys that may still be claimed, and a restatement of older ones.
func (m *Log) reach() time.Duration { return m.rules.Span() + 2*m.restate }

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
	oldest := tail.Records[0].Time.Add(-s.owner.reach())
	for high-low > seekStep {
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
	b, err := s.owner.host.Log.Read(ctx, s.stream, from, 0)
	s.owner.note(ctx, err)
	if err != nil {
		return b, kernel.ErrLogUnavailable
	}
	return b, nil
}

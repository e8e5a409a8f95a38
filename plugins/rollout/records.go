package rollout

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
)

// stream is the log stream of moves that were completed or rolled back.
const stream = "moves"

const (
	readWait       = 10 * time.Second // long poll of the log
	retryMin       = 100 * time.Millisecond
	retryMax       = 2 * time.Second
	recordInterval = 500 * time.Millisecond
	// rankDelay is how much longer each instance waits than the one ranked before
	// it until it appends a record. It is also the minimum time between two
	// attempts.
	rankDelay = 2 * time.Second
	maxEvents = 1024
)

// event is a record of a move that was completed or rolled back.
type event struct {
	Move     uint64           `cbor:"1,keyasint"`
	Route    string           `cbor:"2,keyasint"`
	From     string           `cbor:"3,keyasint"`
	To       string           `cbor:"4,keyasint"`
	State    kernel.MoveState `cbor:"5,keyasint"`
	Why      string           `cbor:"6,keyasint,omitempty"`
	Instance string           `cbor:"7,keyasint"`
	At       time.Time        `cbor:"8,keyasint"`
	// loggedAt is the log's timestamp of the newest record.
	loggedAt time.Time
}

var eventEncoder = newEncoder()

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic("rollout: " + err.Error())
	}
	return mode
}

func decodeEvent(data []byte) (event, error) {
	var e event
	if err := digestDecoder.Unmarshal(data, &e); err != nil {
		return e, errors.Wrap(err, "move record")
	}
	if e.State != kernel.MoveDone && e.State != kernel.MoveRolledBack {
		return e, errors.Errorf("move record: unknown state %q", e.State)
	}
	return e, nil
}

// follow reads the stream until the context ends.
func (r *Rollout) follow(ctx context.Context) {
	retry := backoff.Backoff{Min: retryMin, Max: retryMax}
	next := uint64(1)
	for ctx.Err() == nil {
		wait := readWait
		if !r.rollbacksKnown.Load() {
			wait = 0
		}
		batch, err := r.host.Log.Read(ctx, stream, next, wait)
		if err != nil {
			retry.Wait(ctx)
			continue
		}
		if len(batch.Records) == 0 && next < batch.Next && next >= batch.First {
			retry.Wait(ctx) // the log has more records but returned none
			continue
		}
		retry.Reset()
		next = max(next, batch.First)
		for _, rec := range batch.Records {
			next = max(next, rec.Offset+1)
			r.store(rec)
		}
		if next >= batch.Next {
			r.rollbacksKnown.Store(true)
		}
	}
}

// store keeps a record and applies it. A completed move does not replace a
// rollback.
func (r *Rollout) store(rec kernel.LogRecord) {
	e, err := decodeEvent(rec.Data)
	if err != nil {
		r.host.Counter("versions_records_faulty").Inc(1)
		return
	}
	e.loggedAt = rec.Time
	r.mu.Lock()
	if old, ok := r.events[e.Move]; ok && old.State == kernel.MoveRolledBack && e.State == kernel.MoveDone {
		e = old
	}
	if len(r.events) >= maxEvents {
		r.dropOldest()
	}
	r.events[e.Move] = e
	r.mu.Unlock()
	r.apply(e)
}

// dropOldest drops the event that was logged first. The caller holds mu.
func (r *Rollout) dropOldest() {
	var oldest uint64
	var at time.Time
	for id, e := range r.events {
		if at.IsZero() || e.loggedAt.Before(at) {
			oldest, at = id, e.loggedAt
		}
	}
	delete(r.events, oldest)
}

// provedAll is larger than the number of steps of any policy.
const provedAll = 1 << 10

// apply updates the move that an event refers to, if it is still configured.
func (r *Rollout) apply(e event) {
	m := r.moves.Load().byRoute[e.Route]
	if m == nil || m.id != e.Move {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.State == kernel.MoveRolledBack {
		r.rollBack(m, e.At, e.Why)
		return
	}
	m.step = provedAll
	if m.done.IsZero() {
		m.done = e.At
	}
}

// record appends events that the log lacks, and republishes old ones before the
// log's retention drops them.
func (r *Rollout) record(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	lastAttempts := make(map[uint64]time.Time)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, m := range r.moves.Load().byRoute {
				if e, due := r.dueEvent(m, now); due && now.Sub(lastAttempts[m.id]) >= rankDelay {
					lastAttempts[m.id] = now
					r.append(ctx, e)
				}
			}
		}
	}
}

// dueEvent returns the event of a move and whether this instance should append
// it now. Instances are ranked, and each waits rankDelay longer than the one
// before it, so that usually only one appends.
func (r *Rollout) dueEvent(m *move, now time.Time) (event, bool) {
	m.mu.Lock()
	e := event{Move: m.id, Route: m.route, From: m.move.From, To: m.move.To, Instance: r.host.ID(), Why: m.why}
	switch {
	case m.rolledBack.Load():
		e.State, e.At = kernel.MoveRolledBack, m.rolledBackAt
	case !m.done.IsZero():
		e.State, e.At = kernel.MoveDone, m.done
	}
	m.mu.Unlock()
	if e.State == "" {
		return e, false
	}
	r.mu.Lock()
	logged, ok := r.events[m.id]
	r.mu.Unlock()
	rank := time.Duration(r.host.Rank("moves/" + m.route))
	if !ok || logged.State != e.State {
		return e, now.Sub(e.At) >= rank*rankDelay
	}
	every := r.host.Settings.Duration(section, "restate_every")
	return e, now.Sub(logged.loggedAt) >= every+rank*every/4
}

func (r *Rollout) append(ctx context.Context, e event) {
	data, err := eventEncoder.Marshal(e)
	if err != nil {
		panic("rollout: record: " + err.Error())
	}
	result := "ok"
	if _, err := r.host.Log.Append(ctx, stream, data); err != nil {
		result = "failed"
	}
	r.host.Counter(`versions_records{result="` + result + `"}`).Inc(1)
}

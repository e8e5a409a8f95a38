package rollout

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/backoff"
	"github.com/savoryfold/savoryfold/kernel"
)

// stream holds the records of moves that were done or taken back.
const stream = "moves"

// Times and bounds of the records.
const (
	readWait   = 10 * time.Second
	retryMin   = 100 * time.Millisecond
	retryMax   = 2 * time.Second
	recordTick = 500 * time.Millisecond
	// rankDelay is the time that each instance leaves to the one before it.
	rankDelay = 2 * time.Second
	maxEvents = 1024
)

// event is a record of a move that was done or taken back.
type event struct {
	Move     uint64           `cbor:"1,keyasint"`
	Route    string           `cbor:"2,keyasint"`
	From     string           `cbor:"3,keyasint"`
	To       string           `cbor:"4,keyasint"`
	State    kernel.MoveState `cbor:"5,keyasint"`
	Why      string           `cbor:"6,keyasint,omitempty"`
	Instance string           `cbor:"7,keyasint"`
	At       time.Time        `cbor:"8,keyasint"`
	// logged is the log's time of the newest record.
	logged time.Time
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
	if e.State != kernel.MoveDone && e.State != kernel.MoveTakenBack {
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
		if !r.informed.Load() {
			wait = 0
		}
		batch, err := r.host.Log.Read(ctx, stream, next, wait)
		if err != nil {
			retry.Wait(ctx)
			continue
		}
		if len(batch.Records) == 0 && next < batch.Next && next >= batch.First {
			retry.Wait(ctx) // records were announced and did not come
			continue
		}
		retry.Reset()
		next = max(next, batch.First)
		for _, rec := range batch.Records {
			next = max(next, rec.Offset+1)
			r.take(rec)
		}
		if next >= batch.Next {
			r.informed.Store(true)
		}
	}
}

// take keeps a record. One that says that a version was taken back stays.
func (r *Rollout) take(rec kernel.LogRecord) {
	e, err := decodeEvent(rec.Data)
	if err != nil {
		r.host.Counter("versions_records_faulty").Inc(1)
		return
	}
	e.logged = rec.Time
	r.mu.Lock()
	if old, ok := r.events[e.Move]; ok && old.State == kernel.MoveTakenBack && e.State == kernel.MoveDone {
		e = old
	}
	if len(r.events) >= maxEvents {
		r.dropOldest()
	}
	r.events[e.Move] = e
	r.mu.Unlock()
	r.apply(e)
}

// dropOldest forgets the oldest event. The caller holds mu.
func (r *Rollout) dropOldest() {
	var oldest uint64
	var at time.Time
	for id, e := range r.events {
		if at.IsZero() || e.logged.Before(at) {
			oldest, at = id, e.logged
		}
	}
	delete(r.events, oldest)
}

// provedAll is a number of steps above that of any policy.
const provedAll = 1 << 10

// apply takes an event into the move that it is about.
func (r *Rollout) apply(e event) {
	m := r.moves.Load().byRoute[e.Route]
	if m == nil || m.id != e.Move {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.State == kernel.MoveTakenBack {
		r.rollBack(m, e.At, e.Why)
		return
	}
	m.step = provedAll
	if m.done.IsZero() {
		m.done = e.At
	}
}

// record appends what is not on the log yet, and again what is old there.
func (r *Rollout) record(ctx context.Context) {
	ticker := time.NewTicker(recordTick)
	defer ticker.Stop()
	tried := make(map[uint64]time.Time)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, m := range r.moves.Load().byRoute {
				if e, due := r.due(m, now); due && now.Sub(tried[m.id]) >= rankDelay {
					tried[m.id] = now
					r.append(ctx, e)
				}
			}
		}
	}
}

// due returns the event that the log lacks, if it is this instance's turn.
func (r *Rollout) due(m *move, now time.Time) (event, bool) {
	m.mu.Lock()
	e := event{Move: m.id, Route: m.route, From: m.move.From, To: m.move.To, Instance: r.host.ID(), Why: m.why}
	switch {
	case m.rolledBack.Load():
		e.State, e.At = kernel.MoveTakenBack, m.rolledBackAt
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
	return e, now.Sub(logged.logged) >= every+rank*every/4
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

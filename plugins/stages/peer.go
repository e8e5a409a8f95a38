package stages

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/kernel"
)

// Bounds of calls between instances.
const (
	dispatchPath = "/stages"
	// maxDispatchBytes bounds a stage request and its answer.
	maxDispatchBytes = 1 << 20
)

// peerError says that another instance could not be asked. The work may be done
// there still; pieces may be made again.
type peerError struct{ err error }

// Error implements error.
func (e *peerError) Error() string { return e.err.Error() }

// dispatchRequest is a stage request as one instance sends it to another. Times
// are sent as what is left of them, since clocks differ.
type dispatchRequest struct {
	Group    string        `cbor:"1,keyasint"`
	Zone     string        `cbor:"2,keyasint,omitempty"`
	Request  string        `cbor:"3,keyasint"`
	Stage    int           `cbor:"4,keyasint"`
	Pieces   int           `cbor:"5,keyasint"`
	Key      string        `cbor:"6,keyasint,omitempty"`
	Inputs   []string      `cbor:"7,keyasint,omitempty"`
	Goal     time.Duration `cbor:"8,keyasint"`
	Deadline time.Duration `cbor:"9,keyasint"`
	Priority int           `cbor:"11,keyasint"`
	Wanted   string        `cbor:"12,keyasint,omitempty"`
	Bytes    int           `cbor:"13,keyasint"`
	// Released holds results that are not needed any more. A request that holds
	// them asks for nothing else.
	Released []string `cbor:"14,keyasint,omitempty"`
	// Position is how far the sender has read the catalog.
	Position kernel.CatalogPosition `cbor:"15,keyasint"`
	// Final is true if the receiver is to do the work, whoever it takes for the
	// dispatcher.
	Final bool `cbor:"16,keyasint,omitempty"`
}

// dispatchAnswer is the result of a stage request.
type dispatchAnswer struct {
	Handles    []string             `cbor:"1,keyasint,omitempty"`
	Zone       string               `cbor:"2,keyasint,omitempty"`
	Reason     kernel.OutcomeReason `cbor:"3,keyasint,omitempty"`
	Detail     string               `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration        `cbor:"5,keyasint,omitempty"`
	InputGone  bool                 `cbor:"6,keyasint,omitempty"`
	// InTime and Late are the group's forecast now.
	InTime time.Duration `cbor:"7,keyasint"`
	Late   time.Duration `cbor:"8,keyasint"`
	// Position is how far the dispatcher has read the catalog.
	Position kernel.CatalogPosition `cbor:"9,keyasint"`
	// Dispatcher is set if another instance is the group's dispatcher now.
	Dispatcher *kernel.FleetMember `cbor:"10,keyasint,omitempty"`
}

// ask lets the dispatcher do a stage, or the one that it names in its place. The
// error is a *peerError if it does not answer in time.
func (s *Stages) ask(ctx context.Context, key groupKey, owner kernel.FleetMember, r kernel.StageRequest) (kernel.StageResult, error) {
	answer, err := s.askOne(ctx, key, owner, r, false)
	if err == nil && answer.Dispatcher != nil {
		s.host.Counter(`stage_dispatch{by="redirect"}`).Inc(1)
		if answer.Dispatcher.ID == s.host.ID() {
			return s.group(key).run(ctx, r)
		}
		answer, err = s.askOne(ctx, key, *answer.Dispatcher, r, true)
	}
	if err != nil {
		return kernel.StageResult{}, err
	}
	if answer.Reason != "" || answer.InputGone {
		return kernel.StageResult{}, &kernel.StageFailure{Reason: answer.Reason, Detail: answer.Detail, RetryAfter: answer.RetryAfter, InputGone: answer.InputGone}
	}
	return kernel.StageResult{Handles: answer.Handles, Zone: answer.Zone}, nil
}

// askOne asks one instance.
func (s *Stages) askOne(ctx context.Context, key groupKey, owner kernel.FleetMember, r kernel.StageRequest, final bool) (dispatchAnswer, error) {
	now := time.Now()
	body, err := cbor.Marshal(dispatchRequest{
		Group: key.service, Zone: key.zone, Request: r.Request, Stage: r.Stage, Pieces: r.Pieces, Key: r.Key, Inputs: r.Inputs,
		Goal: r.Goal.Sub(now), Deadline: r.Deadline.Sub(now), Priority: r.Priority, Wanted: r.Zone, Bytes: r.ResultBytes,
		Position: s.host.Catalogs.Position(), Final: final,
	})
	if err != nil {
		panic("stages: dispatch request: " + err.Error())
	}
	limited, done := s.peers.begin(ctx, now, key, owner)
	defer done()
	answer, err := s.exchange(limited, owner.Address, body)
	switch {
	case err != nil && ctx.Err() != nil:
		return dispatchAnswer{}, s.ended(ctx)
	case err != nil:
		s.lost(owner)
		return dispatchAnswer{}, &peerError{errors.Wrap(err, owner.ID)}
	}
	s.heard(key, owner, answer)
	return answer, nil
}

// exchange sends one stage request to another instance.
func (s *Stages) exchange(ctx context.Context, address string, body []byte) (dispatchAnswer, error) {
	data, err := s.host.PeerCalls.CallPeer(ctx, address, dispatchPath, body)
	if err != nil {
		return dispatchAnswer{}, err
	}
	var answer dispatchAnswer
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return dispatchAnswer{}, errors.Wrap(err, "dispatch")
	}
	s.host.Catalogs.HearPosition(answer.Position)
	return answer, nil
}

// serveDispatch does a stage for another instance.
func (s *Stages) serveDispatch(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDispatchBytes))
	if err != nil {
		http.Error(w, "the request did not arrive whole", http.StatusBadRequest)
		return
	}
	var d dispatchRequest
	if err := cbor.Unmarshal(data, &d); err != nil || s.host.Catalogs.Catalog() == nil {
		http.Error(w, "no stage request, or no view of the servers yet", http.StatusServiceUnavailable)
		return
	}
	s.host.Catalogs.HearPosition(d.Position)
	now := time.Now()
	g := s.group(groupKey{d.Group, d.Zone})
	if d.Pieces <= 0 {
		// A release or a query asks for no pieces.
		g.release(d.Released)
		waits := g.forecast(now)
		s.answer(w, dispatchAnswer{InTime: waits.InTime, Late: waits.Late})
		return
	}
	if other := s.owner(now, g.key, s.host.Fleet.Members()); !d.Final && other.ID != "" && other.ID != s.host.ID() {
		s.answer(w, dispatchAnswer{Dispatcher: &other})
		return
	}
	result, err := g.run(r.Context(), kernel.StageRequest{
		Request: d.Request, Service: d.Group, Stage: d.Stage, Pieces: d.Pieces, Key: d.Key, Inputs: d.Inputs,
		Goal: now.Add(d.Goal), Deadline: now.Add(d.Deadline), Priority: d.Priority, Zone: d.Wanted, ResultBytes: d.Bytes,
	})
	waits := g.forecast(time.Now())
	answer := dispatchAnswer{Handles: result.Handles, Zone: result.Zone, InTime: waits.InTime, Late: waits.Late}
	var failure *kernel.StageFailure
	if errors.As(err, &failure) {
		answer.Reason, answer.Detail, answer.RetryAfter, answer.InputGone = failure.Reason, failure.Detail, failure.RetryAfter, failure.InputGone
	}
	if !s.answer(w, answer) {
		s.Release(result.Handles) // nobody knows of the results
	}
}

// answer writes an answer to another instance, and reports whether it could.
func (s *Stages) answer(w http.ResponseWriter, answer dispatchAnswer) bool {
	answer.Position = s.host.Catalogs.Position()
	body, err := cbor.Marshal(answer)
	if err != nil {
		panic("stages: dispatch answer: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, err = w.Write(body)
	return err == nil
}

// ended is the failure of a request whose context has ended.
func (s *Stages) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &kernel.StageFailure{Reason: kernel.ReasonDeadline, Detail: "the deadline passed in a stage"}
	}
	return &kernel.StageFailure{Reason: kernel.ReasonCallerGone, Detail: "the caller went away"}
}

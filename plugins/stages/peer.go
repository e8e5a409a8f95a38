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

// Path and request size limit of calls between instances.
const (
	dispatchPath = "/stages"
	// maxDispatchBytes bounds a stage request.
	maxDispatchBytes = 1 << 20
	// maxDispatchPieces bounds the pieces of a stage request: more than a caller can
	// ask for.
	maxDispatchPieces = 1 << 14
)

// peerError means that another instance gave no valid response. It may run the
// stage nevertheless, which does no harm: pieces may run more than once.
type peerError struct{ err error }

// Error implements error.
func (e *peerError) Error() string { return e.err.Error() }

// dispatchRequest is a stage request from one instance to another. Goal and
// Deadline are durations from the time of sending, since clocks differ.
type dispatchRequest struct {
	// Service and Zone identify the group of stage servers.
	Service       string        `cbor:"1,keyasint"`
	Zone          string        `cbor:"2,keyasint,omitempty"`
	Request       string        `cbor:"3,keyasint"`
	Stage         int           `cbor:"4,keyasint"`
	Pieces        int           `cbor:"5,keyasint"`
	Key           string        `cbor:"6,keyasint,omitempty"`
	Inputs        []string      `cbor:"7,keyasint,omitempty"`
	Goal          time.Duration `cbor:"8,keyasint"`
	Deadline      time.Duration `cbor:"9,keyasint"`
	Priority      int           `cbor:"11,keyasint"`
	PreferredZone string        `cbor:"12,keyasint,omitempty"`
	ResultBytes   int           `cbor:"13,keyasint"`
	// Released holds results that are no longer needed. A request that holds
	// them asks for nothing else.
	Released []string `cbor:"14,keyasint,omitempty"`
	// Position is how far the sender has read the catalog.
	Position kernel.CatalogPosition `cbor:"15,keyasint"`
	// Final makes the receiver run the stage even if it considers another
	// instance to be the dispatcher.
	Final bool `cbor:"16,keyasint,omitempty"`
	// Part is kernel.StageRequest.Part.
	Part uint64 `cbor:"17,keyasint,omitempty"`
	// InputBytes and LastUse are those of kernel.StageRequest.
	InputBytes int  `cbor:"18,keyasint,omitempty"`
	LastUse    bool `cbor:"19,keyasint,omitempty"`
	// Loads holds loads that servers reported lately, to the sender or to others.
	Loads []kernel.LoadFigure `cbor:"20,keyasint,omitempty"`
}

// dispatchResponse is the response to a dispatchRequest.
type dispatchResponse struct {
	Handles    []string             `cbor:"1,keyasint,omitempty"`
	Zone       string               `cbor:"2,keyasint,omitempty"`
	Reason     kernel.OutcomeReason `cbor:"3,keyasint,omitempty"`
	Detail     string               `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration        `cbor:"5,keyasint,omitempty"`
	InputGone  bool                 `cbor:"6,keyasint,omitempty"`
	// InTime and Late are the current forecast of the group.
	InTime time.Duration `cbor:"7,keyasint"`
	Late   time.Duration `cbor:"8,keyasint"`
	// Position is how far the dispatcher has read the catalog.
	Position kernel.CatalogPosition `cbor:"9,keyasint"`
	// Dispatcher is set if the receiver considers another instance to be the
	// dispatcher of the group.
	Dispatcher *kernel.FleetMember `cbor:"10,keyasint,omitempty"`
	// InputsReleased is that of kernel.StageResult.
	InputsReleased bool `cbor:"11,keyasint,omitempty"`
	// Loads is as in dispatchRequest.
	Loads []kernel.LoadFigure `cbor:"12,keyasint,omitempty"`
}

// maxSharedLoads bounds the loads of servers in a message between instances.
const maxSharedLoads = 32

// recentLoads returns the loads for a message to another instance.
func (s *Stages) recentLoads(now time.Time) []kernel.LoadFigure {
	if s.host.LoadFigures == nil {
		return nil
	}
	return s.host.LoadFigures.RecentLoads(now, maxSharedLoads)
}

// observeLoads records loads that another instance reported.
func (s *Stages) observeLoads(loads []kernel.LoadFigure) {
	if s.host.LoadFigures != nil {
		s.host.LoadFigures.ObserveLoads(time.Now(), loads[:min(len(loads), maxSharedLoads)])
	}
}

// runRemote runs a stage on a dispatcher, or on the instance to which it
// redirects. The error is a *peerError if the instance gives no valid response
// in time.
func (s *Stages) runRemote(ctx context.Context, key groupKey, owner kernel.FleetMember, r kernel.StageRequest) (kernel.StageResult, error) {
	response, err := s.callDispatcher(ctx, key, owner, r, false)
	if err == nil && response.Dispatcher != nil {
		s.host.Counter(`stage_dispatch{by="redirect"}`).Inc(1)
		if response.Dispatcher.ID == s.host.ID() {
			return s.group(key).run(ctx, r)
		}
		response, err = s.callDispatcher(ctx, key, *response.Dispatcher, r, true)
	}
	if err != nil {
		return kernel.StageResult{}, err
	}
	if response.Reason != "" || response.InputGone {
		return kernel.StageResult{}, &kernel.StageFailure{Reason: response.Reason, Detail: response.Detail, RetryAfter: response.RetryAfter, InputGone: response.InputGone}
	}
	return kernel.StageResult{Handles: response.Handles, Zone: response.Zone, InputsReleased: response.InputsReleased}, nil
}

// callDispatcher sends a stage to one instance and returns its response.
func (s *Stages) callDispatcher(ctx context.Context, key groupKey, owner kernel.FleetMember, r kernel.StageRequest, final bool) (dispatchResponse, error) {
	now := time.Now()
	body, err := cbor.Marshal(dispatchRequest{
		Service: key.service, Zone: key.zone, Request: r.Request, Stage: r.Stage, Pieces: r.Pieces, Key: r.Key, Inputs: r.Inputs,
		Goal: r.Goal.Sub(now), Deadline: r.Deadline.Sub(now), Priority: r.Priority, PreferredZone: r.Zone, ResultBytes: r.ResultBytes,
		Position: s.host.Catalogs.Position(), Final: final, Part: r.Part,
		InputBytes: r.InputBytes, LastUse: r.LastUse, Loads: s.recentLoads(now),
	})
	if err != nil {
		panic("stages: encode dispatch request: " + err.Error())
	}
	limited, done := s.peers.begin(ctx, now, key, owner)
	defer done()
	response, err := s.exchange(limited, owner.Address, body)
	switch {
	case err != nil && ctx.Err() != nil:
		return dispatchResponse{}, s.contextFailure(ctx)
	case err != nil:
		s.dispatcherFailed(owner)
		return dispatchResponse{}, &peerError{errors.Wrap(err, owner.ID)}
	}
	s.recordResponse(key, owner, response)
	return response, nil
}

// exchange sends one request to another instance and decodes its response.
func (s *Stages) exchange(ctx context.Context, address string, body []byte) (dispatchResponse, error) {
	data, err := s.host.PeerCalls.CallPeer(ctx, address, dispatchPath, body)
	if err != nil {
		return dispatchResponse{}, err
	}
	var response dispatchResponse
	if err := cbor.Unmarshal(data, &response); err != nil {
		return dispatchResponse{}, errors.Wrap(err, "dispatch")
	}
	s.host.Catalogs.ObservePosition(response.Position)
	s.observeLoads(response.Loads)
	return response, nil
}

// serveDispatch runs a stage for another instance.
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
	if d.Pieces > maxDispatchPieces || d.ResultBytes < 0 || d.InputBytes < 0 {
		s.host.Logger.Warn("invalid stage request of another instance", "request", d.Request, "pieces", d.Pieces, "result_bytes", d.ResultBytes)
		http.Error(w, "invalid stage request", http.StatusBadRequest)
		return
	}
	s.host.Catalogs.ObservePosition(d.Position)
	s.observeLoads(d.Loads)
	now := time.Now()
	g := s.group(groupKey{d.Service, d.Zone})
	if d.Pieces <= 0 {
		// Releases and probes have no pieces.
		g.release(d.Released)
		waits := g.forecast(now)
		s.respond(w, dispatchResponse{InTime: waits.InTime, Late: waits.Late})
		return
	}
	if other := s.owner(now, g.key, s.host.Fleet.Members()); !d.Final && other.ID != "" && other.ID != s.host.ID() {
		s.respond(w, dispatchResponse{Dispatcher: &other})
		return
	}
	result, err := g.run(r.Context(), kernel.StageRequest{
		Request: d.Request, Service: d.Service, Stage: d.Stage, Pieces: d.Pieces, Key: d.Key, Inputs: d.Inputs,
		Goal: now.Add(d.Goal), Deadline: now.Add(d.Deadline), Priority: d.Priority, Zone: d.PreferredZone, ResultBytes: d.ResultBytes, Part: d.Part,
		InputBytes: d.InputBytes, LastUse: d.LastUse,
	})
	waits := g.forecast(time.Now())
	response := dispatchResponse{Handles: result.Handles, Zone: result.Zone, InputsReleased: result.InputsReleased, InTime: waits.InTime, Late: waits.Late}
	var failure *kernel.StageFailure
	if errors.As(err, &failure) {
		response.Reason, response.Detail, response.RetryAfter, response.InputGone = failure.Reason, failure.Detail, failure.RetryAfter, failure.InputGone
	}
	if !s.respond(w, response) {
		s.Release(result.Handles) // no instance got the handles
	}
}

// respond writes a response to another instance, and reports whether that
// succeeded.
func (s *Stages) respond(w http.ResponseWriter, response dispatchResponse) bool {
	response.Position = s.host.Catalogs.Position()
	response.Loads = s.recentLoads(time.Now())
	body, err := cbor.Marshal(response)
	if err != nil {
		panic("stages: encode dispatch response: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, err = w.Write(body)
	return err == nil
}

// contextFailure returns the failure of a request whose context has ended.
func (s *Stages) contextFailure(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &kernel.StageFailure{Reason: kernel.ReasonDeadline, Detail: "the deadline passed in a stage"}
	}
	return &kernel.StageFailure{Reason: kernel.ReasonCallerGone, Detail: "the caller went away"}
}

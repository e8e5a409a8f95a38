package kernel

import (
	"time"

	"github.com/pkg/errors"
)

// ErrNoCatalog means that the instance has read no configuration yet.
var ErrNoCatalog = errors.New("the instance has no configuration yet")

// ChoiceExplainer explains where an instance would send a request now, without sending it.
type ChoiceExplainer interface {
	// ExplainChoice changes nothing that choices depend on: no permit is taken, no request
	// counted. The error is ErrNoCatalog.
	ExplainChoice(now time.Time, q ChoiceQuery) (ChoiceExplanation, error)
}

// ChoiceQuery describes a request of a caller.
type ChoiceQuery struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Header holds headers as the caller would send them.
	Header map[string]string `json:"header,omitempty"`
	// Service names the service to explain if the route divides its requests among several;
	// empty means the one that gets most.
	Service string `json:"service,omitempty"`
}

// ChoiceExplanation is where a request would go now.
type ChoiceExplanation struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	Config   int64     `json:"config"`
	Route    string    `json:"route"`
	Service  string    `json:"service"`
	Account  string    `json:"account"`
	// Refusals lists what would refuse the request now.
	Refusals []string `json:"refusals"`
	// Stages lists the stages that run before, and their expected times.
	Stages []ChoiceStage `json:"stages"`
	// Servers lists all servers of the service, those that would be chosen first.
	Servers []ChoiceServer `json:"servers"`
}

// ChoiceStage is a stage of the request. The times are in milliseconds, for requests that
// can still meet their goal and for others.
type ChoiceStage struct {
	Service      string `json:"service"`
	InTimeMillis int64  `json:"in_time_ms"`
	LateMillis   int64  `json:"late_ms"`
}

// ChoiceServer is a server and what the instance knows of it.
type ChoiceServer struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Excluded states why the server is no candidate; empty if it is one. RetryInMillis is
	// the time until it may be one, 0 if unknown.
	Excluded      string `json:"excluded"`
	RetryInMillis int64  `json:"retry_in_ms"`
	// Share is the part of equal requests that would be sent to it now, and Reason that of
	// the choice.
	Share  float64 `json:"share"`
	Reason string  `json:"reason"`
	// InFlight is the number of this instance's requests there. Load is the latest reported
	// load, adjusted by the instance's own requests since, AgeMillis its age; both are -1 if
	// there is none.
	InFlight  int     `json:"in_flight"`
	Load      float64 `json:"load"`
	AgeMillis int64   `json:"age_ms"`
	// Pace and RestPace are the pace of the server's machine by this report and at rest, 0
	// if unknown.
	Pace     float64 `json:"pace"`
	RestPace float64 `json:"rest_pace"`
	// FirstByteMillis is the smoothed time to the first byte, 0 if unknown.
	FirstByteMillis int64 `json:"first_byte_ms"`
}

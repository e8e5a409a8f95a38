package kernel

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
)

// Catalogs brings the view of routes, services and backend servers on which
// requests that are passed through rest.
type Catalogs interface {
	// Catalog returns the view in force, or nil before the first configuration.
	Catalog() *catalog.Catalog
	// OnCatalog registers a function that is called with every new view. It is
	// called during provisioning only.
	OnCatalog(func(*catalog.Catalog))
	// Position is how far this instance has read what operators and servers
	// write.
	Position() CatalogPosition
	// HearPosition takes the position of another instance. If this one is
	// behind and stays so, it reads anew.
	HearPosition(CatalogPosition)
	// RecordMove records the state of a service's move, for operators and for
	// the other instances.
	RecordMove(ctx context.Context, service string, s catalog.MoveStatus) error
}

// CatalogPosition is how far an instance has read: the offsets behind the last
// record of the operators and of the servers.
type CatalogPosition struct {
	Operators uint64 `cbor:"1,keyasint"`
	Servers   uint64 `cbor:"2,keyasint"`
}

// Behind reports whether another position is further in any part.
func (p CatalogPosition) Behind(other CatalogPosition) bool {
	return p.Operators < other.Operators || p.Servers < other.Servers
}

// FleetMember is an instance as the others know it.
type FleetMember struct {
	ID   string
	Zone string
	// Address is where it takes calls of other instances.
	Address string
	// Capacity is its part of what instances do for one another, relative to
	// the others.
	Capacity float64
}

// Fleet knows the instances that take requests now.
type Fleet interface {
	// Members returns the known instances, this one among them, in order of ID.
	Members() []FleetMember
}

// StageRequest is one stage of a request, made of pieces.
type StageRequest struct {
	// Request is the ID of the caller's request.
	Request string
	Service string
	Stage   int
	// Pieces is the number of pieces.
	Pieces int
	// ResultBytes is the usual size of the result of one piece.
	ResultBytes int
	// Key is what pieces of a first stage are made from, Inputs holds handles
	// of the results that pieces of a later stage need.
	Key    string
	Inputs []string
	// Goal is the time by which the result is worth most, Deadline the time
	// after which it is worth nothing.
	Goal, Deadline time.Time
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Zone is where the stage is best done: where its inputs lie or where its
	// result is wanted. It is empty if that matters little.
	Zone string
}

// StageForecast is the expected time until a stage that begins now is done.
type StageForecast struct {
	// InTime is the time for a request that can still meet its goal, which goes
	// before those that cannot. Late is the time for one that cannot.
	InTime, Late time.Duration
}

// StageResult is what a stage made.
type StageResult struct {
	Handles []string
	// Zone is where most of the results lie.
	Zone string
}

// StageFailure says why a stage could not be done.
type StageFailure struct {
	Reason OutcomeReason
	Detail string
	// RetryAfter is when there may be room again; 0 if unknown.
	RetryAfter time.Duration
	// InputGone is true if a result of an earlier stage is gone.
	InputGone bool
}

// Error implements error.
func (f *StageFailure) Error() string { return string(f.Reason) + ": " + f.Detail }

// StageRunner does stages of requests on stage servers.
type StageRunner interface {
	// Run does one stage. Its error is a *StageFailure.
	Run(ctx context.Context, r StageRequest) (StageResult, error)
	// Forecast is what to expect of a stage of a service that begins now.
	Forecast(now time.Time, service string) StageForecast
	// Release tells the stage servers that results are not needed any more.
	Release(handles []string)
}

// VersionPicker divides a service's traffic between versions while it moves.
type VersionPicker interface {
	// PickVersion returns a function that reports whether servers of a version
	// may get a request of a service, or nil if all may. Random is in [0, 1).
	PickVersion(now time.Time, service string, random float64) (allow func(version string) bool)
	// ObserveVersion takes the result of a request into the evidence. Bad
	// answers are failures and those that are slower than usual.
	ObserveVersion(now time.Time, service, version string, failed bool, took time.Duration)
}

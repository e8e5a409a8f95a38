package kernel

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
)

// Catalogs provides the catalog of routes, services and backend servers that
// forwarded requests use.
type Catalogs interface {
	// Catalog returns the current catalog, or nil before the first configuration.
	Catalog() *catalog.Catalog
	// AwaitCatalog returns the current catalog. Until this instance has read the
	// configuration, the servers, the fleet and the states that instances share for the first
	// time, it waits for them. It
	// stops waiting when the context ends or a call to the store has failed, after which
	// nobody knows when they will be read; the result may then be nil.
	AwaitCatalog(ctx context.Context) *catalog.Catalog
	// OnCatalog registers a function that is called with every new catalog. It
	// must be called during provisioning only.
	OnCatalog(func(*catalog.Catalog))
	// Position returns how far this instance has read the records of operators
	// and servers.
	Position() CatalogPosition
	// ObservePosition records the position that another instance reported. If
	// this instance is behind it and stays behind, it reads the records again.
	ObservePosition(CatalogPosition)
	// ServerLeaves records that a start of a server has stated that it leaves. It gets no
	// further requests of this instance, whatever its entry says, until it starts again.
	ServerLeaves(server *catalog.Server)
	// RecordMove publishes the state of a service's move to operators and to the
	// other instances.
	RecordMove(ctx context.Context, service string, s catalog.MoveStatus) error
}

// CatalogPosition is how far an instance has read: the offsets after the last
// records that it read of operators and of servers.
type CatalogPosition struct {
	Operators uint64 `cbor:"1,keyasint"`
	Servers   uint64 `cbor:"2,keyasint"`
	// Era is that of the store from which the offsets are. Each restore of the store from
	// an older copy begins a new one, in which offsets are given out again.
	Era uint64 `cbor:"3,keyasint,omitempty"`
}

// Behind reports whether another position is of a later era, or ahead in either stream of
// the same one.
func (p CatalogPosition) Behind(other CatalogPosition) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Operators < other.Operators || p.Servers < other.Servers
}

// FleetMember is an instance as known to the others.
type FleetMember struct {
	ID   string
	Zone string
	// Address is the address for calls from other instances.
	Address string
	// Capacity is the instance's share, relative to the others, of the work that
	// instances do for one another.
	Capacity float64
}

// Fleet lists the instances that currently accept requests.
type Fleet interface {
	// Members returns the known instances, including this one, sorted by ID. It is
	// empty until they are known.
	Members() []FleetMember
	// Confirmed reports whether this instance has lately confirmed its own membership
	// and is not leaving. If not, the others may no longer count it as a member.
	Confirmed() bool
}

// StageRequest asks to run one stage of a request. A stage consists of pieces.
type StageRequest struct {
	// Request is the ID of the caller's request.
	Request string
	Service string
	Stage   int
	// Pieces is the number of pieces.
	Pieces int
	// ResultBytes is the expected size of the result of one piece, in bytes.
	ResultBytes int
	// Key identifies the input of the pieces of a first stage. Inputs holds the
	// handles of the results that the pieces of a later stage need.
	Key    string
	Inputs []string
	// InputBytes is the expected size of all inputs together. Every piece fetches all of
	// them.
	InputBytes int
	// LastUse is true if nothing but this stage needs the inputs.
	LastUse bool
	// Part identifies the stage of a request that comes again unchanged, for PartGuard.
	Part uint64
	// Goal is the time by which the result should be ready, Deadline the time
	// after which it is useless.
	Goal, Deadline time.Time
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Zone is the preferred availability zone: that of the stage's inputs, or of
	// the consumer of its result. It is empty if there is no preference.
	Zone string
}

// StageForecast is the expected time to finish a stage that begins now.
type StageForecast struct {
	// InTime applies to a request that can still meet its goal; such requests
	// go before the others. Late applies to a request that cannot.
	InTime, Late time.Duration
}

// StageResult is the result of a stage.
type StageResult struct {
	Handles []string
	// Zone is the availability zone that holds most of the results.
	Zone string
	// InputsReleased is true if the inputs were released when the stage had fetched them.
	InputsReleased bool
}

// StageFailure is the error of a stage that could not be completed.
type StageFailure struct {
	Reason OutcomeReason
	Detail string
	// RetryAfter is the time until capacity may be available again; 0 if unknown.
	RetryAfter time.Duration
	// InputGone is true if a result of an earlier stage is no longer available.
	InputGone bool
}

// Error implements error.
func (f *StageFailure) Error() string { return string(f.Reason) + ": " + f.Detail }

// LoadFigure is a load that a backend server reported, as one instance reports it to
// another.
type LoadFigure struct {
	_ struct{} `cbor:",toarray"`
	// Server is a hash of the server's ID.
	Server uint64
	// Requests is the number of requests running and waiting on the server.
	Requests int
	// Pace is how long work takes on the server's machine, in percent of other times.
	Pace int
	// RestPace is the lowest pace of the last seconds, in percent; 0 if it is unknown.
	RestPace int
	// AgeMillis is the age of the figure in milliseconds.
	AgeMillis int64
}

// LoadFigures keeps the loads that servers reported to this instance and, in messages
// that instances exchange in any case, to others.
type LoadFigures interface {
	// RecentLoads returns the latest figures, the newest first, at most the given number.
	// It returns none unless the settings ask for it.
	RecentLoads(now time.Time, most int) []LoadFigure
	// ObserveLoads records figures of another instance that are newer than those known.
	ObserveLoads(now time.Time, figures []LoadFigure)
}

// StageRunner runs stages of requests on stage servers.
type StageRunner interface {
	// Run runs one stage. Its error is a *StageFailure.
	Run(ctx context.Context, r StageRequest) (StageResult, error)
	// Forecast returns the expected time of a stage of a service that begins now.
	Forecast(now time.Time, service string) StageForecast
	// Release notifies the stage servers that results are no longer needed.
	Release(handles []string)
}

// StageCalls is the name under which a VersionPicker counts the calls of stages to a
// service, in place of a route.
const StageCalls = "calls of stages"

// VersionPicker splits a service's traffic between versions during a move.
type VersionPicker interface {
	// PickVersion returns a function that reports whether servers of a version
	// may get a request of a service, or nil if all may. The random number is
	// in the range [0, 1). It must be independent of the choice of the service.
	PickVersion(now time.Time, service, route string, random float64) (allow func(version string) bool)
	// CountVersion counts a request that is sent to a server of a version.
	CountVersion(service, route, version string)
	// ObserveVersion records the result of a request as evidence for or against
	// a version. Failures and responses slower than the baseline of their route
	// count against it.
	ObserveVersion(now time.Time, service, route, version string, failed bool, took time.Duration)
	// SlowResponse reports whether a response that has taken a time so far counts
	// against its version.
	SlowResponse(service, route string, took time.Duration) bool
}

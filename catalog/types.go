package catalog

import (
	"strconv"
	"time"
)

// RouteKind determines whether the requests of a route may be retried.
type RouteKind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests return a stream of events. They run at most once, unless
	// the route is resumable.
	Streaming
)

var routeKindNames = [...]string{"non-idempotent", "idempotent", "streaming"}

// String returns the kind's name.
func (k RouteKind) String() string { return routeKindNames[k] }

// Route defines the stages, target services and time limits of one kind of
// request.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the maximum duration of a request. Goal is the latency target of
	// the response. GapGoal is the target for the longest gap between two events
	// of a stream.
	Timeout, Goal, GapGoal time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Targets are the services that run the requests, with their weights.
	Targets []Target
	// MaxAttempts is the maximum number of backend servers that one request is
	// tried on.
	MaxAttempts int
	Stages      []Stage
	// Public routes need no API key.
	Public bool
	// HasPrompts is true if the requests carry prompts. Servers cache the prompt
	// prefixes that requests share.
	HasPrompts bool
	// Resumable streams may continue on another server after a failure.
	Resumable bool
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Stage is a preparation step that must finish before a request can run.
type Stage struct {
	Service string
	// After lists the indices of the stages whose results this one needs.
	After []int
	// ResultBytes is the expected size of one result, in bytes.
	ResultBytes int
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name string
	// HealthPath is the URL path of the servers' health check.
	HealthPath string
	// MaxConnections is the maximum number of connections to one server, summed
	// over all instances.
	MaxConnections int
	// ColdStart is how long a server counts as cold after its start. ColdRate is
	// the number of requests per second that a cold server can take, summed over
	// all instances.
	ColdStart time.Duration
	ColdRate  float64
	// Scaling is set for services whose number of servers this system orders, nil otherwise.
	Scaling *Scaling
	// Engine is set for services of model engines, Batch for those of stage
	// servers; each is nil otherwise.
	Engine *Engine
	Batch  *Batch
}

// Scaling bounds the number of servers of a service that may be ordered.
type Scaling struct {
	// Min and Max bound the number of servers in each availability zone.
	Min, Max int
	// Boot is the time from an order until a new server can serve.
	Boot time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of an engine's prompt cache, in tokens.
	CacheTokens int
}

// Batch describes the stage servers of a service. All values apply to one
// server.
type Batch struct {
	// Slots is the number of calls that run concurrently, Queue the number that
	// may wait.
	Slots, Queue int
	// MaxPieces is the maximum number of pieces in one call.
	MaxPieces int
	// CallTime is the fixed duration of a call, PieceTime what each piece adds.
	CallTime, PieceTime time.Duration
	// ResultMemory is the memory for results, in bytes. ResultTTL is how long a
	// result that nobody fetches is kept.
	ResultMemory int64
	ResultTTL    time.Duration
	// LinkRate is the rate of a server's link in bytes per second, 0 if it is unknown.
	LinkRate int64
}

// Server is a backend server as of one start of its process. After a restart it
// is a new Server with the same ID.
type Server struct {
	// ID names the server. The start time, in Unix milliseconds, distinguishes
	// its starts; it is 0 if unknown.
	ID             string
	StartUnixMilli int64
	// Sequence is the number of the record that describes the server, counted
	// from that start. A later record has a higher number.
	Sequence int64
	Service  string
	Address  string
	Zone     string
	Version  string
	Slots    int
	// Draining servers must not get new requests.
	Draining bool
	// WarmAt is when the server stops being cold; zero if it is warm.
	WarmAt time.Time
	// FirstSeen is when this instance first learned of this start of the server.
	FirstSeen time.Time
}

// StartName returns a name that differs for each start of each server.
func (s *Server) StartName() string { return s.ID + "/" + strconv.FormatInt(s.StartUnixMilli, 10) }

// Cold reports whether the server is cold at the given time.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.WarmAt) }

// Account is a client account.
type Account struct {
	Name     string
	Priority int
	// HasPriority is true if Priority overrides that of the route.
	HasPriority bool
}

// Limits are the size and time limits for requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Move is an operator command to shift a service's traffic to a version.
type Move struct {
	Service string
	// TargetVersion is the version that gets all traffic in the end.
	TargetVersion string
	Duration      time.Duration
	// Order identifies the command among those for the same service; a later
	// command has a higher number.
	Order uint64
	// ReceivedAt is when this instance received the command.
	ReceivedAt time.Time
}

// MoveState is the progress of a move.
type MoveState int

// The states of a move.
const (
	MoveInProgress MoveState = iota
	MoveCompleted
	MoveRolledBack
)

var moveStateNames = [...]string{"in-progress", "completed", "rolled-back"}

// String returns the state's name.
func (s MoveState) String() string { return moveStateNames[s] }

// MoveStatus is the recorded state of a move.
type MoveStatus struct {
	TargetVersion string
	// Order is that of the move whose state this is.
	Order uint64
	State MoveState
}

// Config is the part of the catalog that operators configure.
type Config struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Accounts maps API keys to accounts.
	Accounts map[string]*Account
	// RequiresKey is false if no accounts are configured, so that requests need no
	// key.
	RequiresKey bool
}

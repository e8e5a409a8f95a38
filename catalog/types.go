package catalog

import "time"

// RouteKind says what of a request may be repeated.
type RouteKind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests answer with events. They run at most once, unless the
	// route is resumable.
	Streaming
)

var routeKindNames = [...]string{"non-idempotent", "idempotent", "streaming"}

// String returns the kind's name.
func (k RouteKind) String() string { return routeKindNames[k] }

// Route says what a kind of request passes through and by when.
type Route struct {
	Name string
	Host string
	// Prefix is the beginning of the path; it begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request may take, Goal the time within
	// which its answer is worth most, GapGoal the longest good pause between two
	// events.
	Timeout, Goal, GapGoal time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Targets are the services that run the requests, by weight.
	Targets []Target
	// MaxAttempts bounds the backend servers that may run one request.
	MaxAttempts int
	Stages      []Stage
	// Public routes need no API key.
	Public bool
	// Prompted routes carry prompts, whose shared parts servers keep in cache.
	Prompted bool
	// Resumable streams may go on at another server.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target is a service that gets a part of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Stage is work that must be done before a request can run.
type Stage struct {
	Service string
	// After lists the stages, by index, whose results this one needs.
	After []int
	// ResultBytes is the usual size of one result.
	ResultBytes int
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name string
	// HealthPath is where servers tell their health.
	HealthPath string
	// MaxConnections bounds the connections of all callers to one server.
	MaxConnections int
	// ColdStart is how long a server is cold after its start, ColdRate the
	// requests a second that it bears meanwhile, from all callers.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is set for model engines, Batch for servers of stages.
	Engine *Engine
	Batch  *Batch
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// CacheTokens bounds the prompt tokens in an engine's memory.
	CacheTokens int
}

// Batch describes the stage servers of a service. All figures hold for one
// server.
type Batch struct {
	// Slots is the number of calls in progress, Queue of those that may wait.
	Slots, Queue int
	// MaxPieces bounds the pieces of one call.
	MaxPieces int
	// CallTime is what a call costs, PieceTime what each piece adds.
	CallTime, PieceTime time.Duration
	// ResultMemory is the room for results in bytes, ResultTTL how long an
	// unclaimed result stays.
	ResultMemory int64
	ResultTTL    time.Duration
}

// Server is one life of a backend server.
type Server struct {
	// ID names the server; Born tells its lives apart (Unix milliseconds of
	// its start, 0 if unknown).
	ID   string
	Born int64
	// Sequence counts what the server said of itself in this life.
	Sequence int64
	Service  string
	Address  string
	Zone     string
	Version  string
	Slots    int
	// Draining servers must not get new work.
	Draining bool
	// WarmAt is when the server ceases to be cold; zero if it is warm.
	WarmAt time.Time
	// Seen is when this instance learned of this life of the server.
	Seen time.Time
}

// Cold reports whether the server is cold at a time.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.WarmAt) }

// Account is a client account.
type Account struct {
	Name     string
	Priority int
	// HasPriority is true if Priority goes before the route's.
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Move is an order to move a service's traffic to a version.
type Move struct {
	Service string
	// Target is the version that is to get all traffic.
	Target   string
	Duration time.Duration
	// Order tells orders for one service apart; a later order has a higher one.
	Order uint64
	// Seen is when this instance learned of the order.
	Seen time.Time
}

// MoveState is how far a move is.
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
	Target string
	// Order is that of the move it speaks of.
	Order uint64
	State MoveState
}

// Config is what operators set.
type Config struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Accounts maps API keys to accounts. Keyed is false if the configuration
	// knows no accounts, so that requests need no key.
	Accounts map[string]*Account
	Keyed    bool
}

package config

import (
	"maps"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// SectionKind is the first word of a section's name.
type SectionKind string

// The section kinds. Route and account sections form the table of routes. Pool
// and zone sections form the table of pools.
const (
	RouteSection   SectionKind = "route"
	PoolSection    SectionKind = "pool"
	ZoneSection    SectionKind = "zone"
	AccountSection SectionKind = "account"
)

// Section is one section of the tables, the unit that operators edit.
type Section struct {
	// Name is the kind and the name, such as "route answer", as in the heading.
	Name string `cbor:"1,keyasint" json:"name"`
	// Body is the INI text below the section's heading.
	Body string `cbor:"2,keyasint" json:"body"`
	// Revision is the log offset of the edit that set the section.
	Revision uint64 `cbor:"3,keyasint" json:"revision"`
	// EditedBy is the operator whose edit set the section.
	EditedBy string `cbor:"4,keyasint,omitempty" json:"by,omitempty"`
}

func (s Section) Kind() SectionKind {
	kind, _, _ := strings.Cut(s.Name, " ")
	return SectionKind(kind)
}

// Text returns the INI text of the section with its heading.
func (s Section) Text() string { return "[" + s.Name + "]\n" + s.Body }

// checkText returns an error unless the section's text parses to exactly this
// section. A body must not add keys to another section, however the INI library
// parses it.
func (s Section) checkText() error {
	src, err := parseSource("["+s.Name+"]", []byte(s.Text()))
	if err != nil {
		return err
	}
	faults := src.syntaxFaults()
	for _, other := range src.file.Sections() {
		empty := other.Name() == ini.DefaultSection && len(other.Keys()) == 0
		if other.Name() != s.Name && !empty {
			faults = append(faults, Fault{File: "[" + s.Name + "]", Section: other.Name(), Problem: "stands inside the body of another section"})
		}
	}
	if !src.file.HasSection(s.Name) {
		faults = append(faults, Fault{File: "[" + s.Name + "]", Problem: "is no section heading"})
	}
	return faults.Err()
}

// SizeClass classifies requests by the amount of work.
type SizeClass string

const (
	Small SizeClass = "small"
	Large SizeClass = "large"
)

// Stage is one step of a route.
type Stage struct {
	Name string
	Pool string
	// Path is the HTTP path of the call on the backend server.
	Path string
	// DeadlineShare is the fraction of the route's deadline that the stage may
	// use, from 0 to 1.
	DeadlineShare float64
	// Idempotent stages may be retried after a failure.
	Idempotent bool
	// Stream is true for a stage whose response is an event stream.
	Stream bool
	// CostWeight is the number of cost units per millisecond of the stage's engine
	// time.
	CostWeight float64
}

// VersionMove is a planned gradual rollout of a route's traffic to a new version.
type VersionMove struct {
	From, To string
	Start    time.Time
	// CompleteBy is the time by which the new version should carry all traffic.
	CompleteBy time.Time
}

// Route describes a kind of request: its stages, its deadline and who may use it.
type Route struct {
	Name     string
	Revision uint64
	Stages   []Stage
	Deadline time.Duration
	Size     SizeClass
	Priority int
	// CostWeight scales the extra work that a request may cause to meet its
	// deadline: 0 allows no retries and hedges, 1 all that the budgets of the pool
	// and the client account allow.
	CostWeight float64
	Hedge      bool
	// Accounts lists the client accounts that may use the route. Empty means all.
	Accounts []string
	// Version pins the version of the servers that the route uses. Empty means any.
	Version string
	Move    *VersionMove
}

// Retryable reports whether every stage of the route is idempotent.
func (r *Route) Retryable() bool {
	return !slices.ContainsFunc(r.Stages, func(s Stage) bool { return !s.Idempotent })
}

// Server is one backend server in the table of pools.
type Server struct {
	Name    string
	Pool    string
	Zone    string
	Address string
	Version string
	// Leaving is true for a server that drains: it finishes its calls and gets no
	// new ones.
	Leaving bool
}

// ID returns "pool/name", which is unique among all servers.
func (s Server) ID() string { return s.Pool + "/" + s.Name }

// Pool is a set of backend servers that do the same kind of work.
type Pool struct {
	Name     string
	Revision uint64
	Servers  []Server
	// ColdLimit is the largest number of concurrent calls on a cold server, over
	// all instances.
	ColdLimit int
	// Limit is the largest number of concurrent calls on a warm server.
	Limit int
	// Versioned is true if the pool takes part in version moves.
	Versioned bool
	// FirstByteTimeout and ReadGapTimeout are the progress timeouts of a call:
	// until the first byte of the response, and between two reads of it.
	FirstByteTimeout time.Duration
	ReadGapTimeout   time.Duration
}

// Zone is the configured state of one availability zone.
type Zone struct {
	Name     string
	Revision uint64
	// Out is true for a zone out of service, which receives no new work.
	Out bool
}

// Account is a client account, identified by its API key.
type Account struct {
	Name     string
	Revision uint64
	// KeySHA256 is the API key's SHA-256 in hexadecimal.
	KeySHA256 string
	// Weight is the account's share of a contended resource, relative to others.
	Weight float64
}

// Tables is one revision of all tables. It is immutable.
type Tables struct {
	// Revision is the log offset of the newest accepted edit.
	Revision uint64
	Sections map[string]Section
	Routes   map[string]*Route
	Pools    map[string]*Pool
	Zones    map[string]*Zone
	Accounts map[string]*Account
	// ByKey indexes accounts by the SHA-256 of their API keys in hexadecimal.
	ByKey map[string]*Account
}

// ZoneOut reports whether operators have taken the zone out of service.
func (t *Tables) ZoneOut(zone string) bool {
	z := t.Zones[zone]
	return z != nil && z.Out
}

// SectionNames returns the sorted names of all sections.
func (t *Tables) SectionNames() []string {
	return slices.Sorted(maps.Keys(t.Sections))
}

// Text returns all sections as one INI text, sorted by name.
func (t *Tables) Text() string {
	var b strings.Builder
	for i, name := range t.SectionNames() {
		if i > 0 {
			b.WriteString("\n")
		}
		b.WriteString(t.Sections[name].Text())
	}
	return b.String()
}

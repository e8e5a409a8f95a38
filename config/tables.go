package config

import (
	"maps"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// SectionKind is the first word of a table section's name.
type SectionKind string

// The kinds of sections. Routes and accounts form the table of routes, pools
// and zones the table of pools.
const (
	RouteSection   SectionKind = "route"
	PoolSection    SectionKind = "pool"
	ZoneSection    SectionKind = "zone"
	AccountSection SectionKind = "account"
)

// Section is one section of the tables, the unit that operators edit.
type Section struct {
	// Name is the kind and the name, such as "route answer".
	Name string `cbor:"1,keyasint" json:"name"`
	// Body is the INI text below the section's heading.
	Body string `cbor:"2,keyasint" json:"body"`
	// Revision is the log offset of the edit that put the section.
	Revision uint64 `cbor:"3,keyasint" json:"revision"`
	// By is the operator whose edit put the section.
	By string `cbor:"4,keyasint,omitempty" json:"by,omitempty"`
}

// Kind returns the section's kind.
func (s Section) Kind() SectionKind {
	kind, _, _ := strings.Cut(s.Name, " ")
	return SectionKind(kind)
}

// Text returns the section with its heading, as it stands in a file.
func (s Section) Text() string { return "[" + s.Name + "]\n" + s.Body }

// check reports whether the section's text is just this section: its body must
// not bring in keys of another one, whatever the INI library makes of it.
func (s Section) check() error {
	src, err := parseSource("["+s.Name+"]", []byte(s.Text()))
	if err != nil {
		return err
	}
	faults := src.formFaults()
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

// SizeClass sorts requests by the work that they bring.
type SizeClass string

// The size classes.
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
	// Share is the part of the route's deadline that the stage may take, from
	// 0 to 1.
	Share float64
	// Idempotent stages may be called again after a failure.
	Idempotent bool
	// Stream is true for a stage whose answer is an event stream.
	Stream bool
	// CostWeight turns a millisecond of the stage's engine time into cost units.
	CostWeight float64
}

// VersionMove is a planned move of a route's traffic to a new version.
type VersionMove struct {
	From, To string
	Start    time.Time
	// By is the time at which the new version carries all traffic.
	By time.Time
}

// Route says what a kind of request passes through and by when.
type Route struct {
	Name     string
	Revision uint64
	Stages   []Stage
	Deadline time.Duration
	Size     SizeClass
	Priority int
	// CostWeight says how much attainment may cost: 0 spends nothing on
	// retries and hedges, 1 all that the budgets allow.
	CostWeight float64
	Hedge      bool
	// Accounts lists the client accounts that may use the route; empty means all.
	Accounts []string
	// Version pins the version of the servers that the route uses; empty means any.
	Version string
	Move    *VersionMove
}

// Repeatable reports whether every stage of the route is idempotent.
func (r *Route) Repeatable() bool {
	return !slices.ContainsFunc(r.Stages, func(s Stage) bool { return !s.Idempotent })
}

// Server is one backend server as the table of pools names it.
type Server struct {
	Name    string
	Pool    string
	Zone    string
	Address string
	Version string
	// Leaving servers finish their calls and get no new ones.
	Leaving bool
}

// ID is "pool/name", which no other server has.
func (s Server) ID() string { return s.Pool + "/" + s.Name }

// Pool says which backend servers may do a kind of work.
type Pool struct {
	Name     string
	Revision uint64
	Servers  []Server
	// ColdLimit is the largest number of calls that all instances together may
	// have on a cold server.
	ColdLimit int
	// Limit is the largest number of calls on a warm server.
	Limit int
	// Versioned pools take part in version moves.
	Versioned bool
	// FirstByte and BetweenBytes are the progress deadlines of a call.
	FirstByte    time.Duration
	BetweenBytes time.Duration
}

// Zone is the state of one availability zone.
type Zone struct {
	Name     string
	Revision uint64
	// Out zones receive no new work.
	Out bool
}

// Account is a client account.
type Account struct {
	Name     string
	Revision uint64
	// KeySHA256 is the API key's SHA-256 in hexadecimal.
	KeySHA256 string
	// Weight is the account's part of a shared resource, relative to others.
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
	// ByKey finds an account by the SHA-256 of its API key in hexadecimal.
	ByKey map[string]*Account
}

// ZoneOut reports whether operators have taken the zone out.
func (t *Tables) ZoneOut(zone string) bool {
	z := t.Zones[zone]
	return z != nil && z.Out
}

// SectionNames returns the names of all sections in order.
func (t *Tables) SectionNames() []string {
	return slices.Sorted(maps.Keys(t.Sections))
}

// Text returns all sections as one INI text.
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

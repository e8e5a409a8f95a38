package config

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net"
	"regexp"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Defaults of table keys.
const (
	DefaultDeadline     = 3 * time.Second
	DefaultColdLimit    = 2
	DefaultServerLimit  = 32
	DefaultFirstByte    = 2 * time.Second
	DefaultBetweenBytes = time.Second
	maxDeadline         = 10 * time.Minute
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)

// ParseTables parses a file with all tables. All problems are reported at once
// as Faults, each with its line.
func ParseTables(name string, text []byte) (*Tables, error) {
	src, err := parseSource(name, text)
	if err != nil {
		return nil, err
	}
	sections := make(map[string]Section)
	for _, s := range src.file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		sections[s.Name()] = Section{Name: s.Name(), Body: bodyOf(s)}
	}
	c := &compiler{src: src}
	t := c.compile(src.file, sections, 0)
	faults := append(src.syntaxFaults(), c.faults...)
	return t, faults.Err()
}

// Compile builds the tables of a revision from sections. The error is Faults.
func Compile(sections map[string]Section, revision uint64) (*Tables, error) {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		if err := sections[name].checkText(); err != nil {
			return nil, err
		}
		text.WriteString(sections[name].Text())
		text.WriteString("\n")
	}
	src, err := parseSource("tables", []byte(text.String()))
	if err != nil {
		return nil, err
	}
	c := &compiler{src: src}
	t := c.compile(src.file, sections, revision)
	faults := append(src.syntaxFaults(), c.faults...)
	return t, faults.Err()
}

func bodyOf(s *ini.Section) string {
	var b strings.Builder
	for _, k := range s.Keys() {
		fmt.Fprintf(&b, "%s = %s\n", k.Name(), k.Value())
	}
	return b.String()
}

// compiler builds tables from INI sections and collects all faults.
type compiler struct {
	src     *source
	faults  Faults
	section *ini.Section    // the current section
	used    map[string]bool // keys of the section that were read; nil accepts all its keys
}

func (c *compiler) addFault(key, format string, args ...any) {
	c.faults = append(c.faults, c.src.fault(c.section.Name(), key, fmt.Sprintf(format, args...)))
}

func (c *compiler) compile(file *ini.File, sections map[string]Section, revision uint64) *Tables {
	t := &Tables{
		Revision: revision,
		Sections: sections,
		Routes:   make(map[string]*Route),
		Pools:    make(map[string]*Pool),
		Zones:    make(map[string]*Zone),
		Accounts: make(map[string]*Account),
		ByKey:    make(map[string]*Account),
	}
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		c.section = s
		c.used = make(map[string]bool)
		if _, ok := sections[s.Name()]; !ok {
			c.addFault("", "stands inside the body of another section")
			continue
		}
		c.add(t, s.Name(), sections[s.Name()].Revision)
		c.rejectUnknown()
	}
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		if !file.HasSection(name) {
			c.faults = append(c.faults, c.src.fault(name, "", "is no section heading or is swallowed by another section"))
		}
	}
	for _, s := range file.Sections() {
		c.section = s
		if r := t.Routes[strings.TrimPrefix(s.Name(), "route ")]; r != nil && strings.HasPrefix(s.Name(), "route ") {
			c.checkReferences(t, r)
		}
	}
	return t
}

func (c *compiler) add(t *Tables, section string, revision uint64) {
	kind, name, _ := strings.Cut(section, " ")
	if !namePattern.MatchString(name) {
		c.addFault("", "want a heading [route NAME], [pool NAME], [zone NAME] or [account NAME]")
		return
	}
	switch SectionKind(kind) {
	case RouteSection:
		t.Routes[name] = c.route(name, revision)
	case PoolSection:
		t.Pools[name] = c.pool(name, revision)
	case ZoneSection:
		state := c.enum("state", "in", "in", "out")
		t.Zones[name] = &Zone{Name: name, Revision: revision, Out: state == "out"}
	case AccountSection:
		a := c.account(name, revision)
		t.Accounts[name] = a
		if other := t.ByKey[a.KeySHA256]; other != nil {
			c.addFault("key_sha256", "is that of account %s", other.Name)
		}
		t.ByKey[a.KeySHA256] = a
	default:
		c.addFault("", "unknown kind of section %q, want route, pool, zone or account", kind)
		c.used = nil
	}
}

func (c *compiler) rejectUnknown() {
	if c.used == nil {
		return
	}
	for _, k := range c.section.Keys() {
		if !c.used[k.Name()] {
			c.addFault(k.Name(), "unknown key")
		}
	}
}

func (c *compiler) route(name string, revision uint64) *Route {
	r := &Route{
		Name:       name,
		Revision:   revision,
		Deadline:   c.duration("deadline", DefaultDeadline, maxDeadline),
		Size:       SizeClass(c.enum("size", string(Small), string(Small), string(Large))),
		Priority:   c.integer("priority", 0, 0, 9),
		CostWeight: c.number("cost_weight", 1, 0, 1),
		Hedge:      c.boolean("hedge", false),
		Accounts:   splitList(c.text("accounts", "")),
		Version:    c.text("version", ""),
	}
	for _, stage := range splitList(c.text("stages", "")) {
		r.Stages = append(r.Stages, c.stage(stage))
	}
	if len(r.Stages) == 0 {
		c.addFault("stages", "want at least one stage")
	}
	c.checkStages(r)
	r.Move = c.move()
	if r.Move != nil && r.Version != "" {
		c.addFault("version", "is not used beside a move")
	}
	return r
}

func (c *compiler) stage(name string) Stage {
	if !namePattern.MatchString(name) || strings.Contains(name, ".") {
		c.addFault("stages", "%q is no stage name", name)
	}
	s := Stage{
		Name:          name,
		Pool:          c.text(name+".pool", ""),
		Path:          c.text(name+".path", "/v1/call"),
		DeadlineShare: c.number(name+".share", 1, 0.001, 1),
		Idempotent:    c.boolean(name+".idempotent", true),
		Stream:        c.boolean(name+".stream", false),
		CostWeight:    c.number(name+".cost_weight", 1, 0, 1e6),
	}
	if s.Pool == "" {
		c.addFault(name+".pool", "is required, want the name of a pool")
	}
	if !strings.HasPrefix(s.Path, "/") {
		c.addFault(name+".path", "%q does not start with /", s.Path)
	}
	return s
}

func (c *compiler) checkStages(r *Route) {
	seen := make(map[string]bool)
	for i, s := range r.Stages {
		if seen[s.Name] {
			c.addFault("stages", "stage %s stands twice", s.Name)
		}
		seen[s.Name] = true
		if s.Stream && i != len(r.Stages)-1 {
			c.addFault(s.Name+".stream", "only the last stage may stream")
		}
		if s.Stream && !s.Idempotent {
			c.addFault(s.Name+".stream", "a stage that is not idempotent may not stream")
		}
	}
}

// move reads the planned version move of a route. It returns nil if there is none.
func (c *compiler) move() *VersionMove {
	to := c.text("move.to", "")
	m := &VersionMove{
		From:       c.text("move.from", ""),
		To:         to,
		Start:      c.time("move.start"),
		CompleteBy: c.time("move.by"),
	}
	if to == "" {
		if m.From != "" || !m.CompleteBy.IsZero() || !m.Start.IsZero() {
			c.addFault("move.to", "is required for a move")
		}
		return nil
	}
	if m.From == "" || m.From == m.To {
		c.addFault("move.from", "is required for a move and differs from move.to")
	}
	if !m.CompleteBy.After(m.Start) || m.Start.IsZero() {
		c.addFault("move.by", "is required for a move and comes after move.start")
	}
	return m
}

func (c *compiler) pool(name string, revision uint64) *Pool {
	p := &Pool{
		Name:             name,
		Revision:         revision,
		ColdLimit:        c.integer("cold_limit", DefaultColdLimit, 1, 1e6),
		Limit:            c.integer("limit", DefaultServerLimit, 1, 1e6),
		Versioned:        c.boolean("versioned", false),
		FirstByteTimeout: c.duration("first_byte", DefaultFirstByte, maxDeadline),
		ReadGapTimeout:   c.duration("between_bytes", DefaultBetweenBytes, maxDeadline),
	}
	for _, k := range c.section.Keys() {
		if server, ok := strings.CutPrefix(k.Name(), "server."); ok {
			c.used[k.Name()] = true
			p.Servers = append(p.Servers, c.server(name, server, k))
		}
	}
	slices.SortFunc(p.Servers, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	return p
}

// server parses a server key, whose value has the form
// "zone=hobart addr=127.0.0.1:9001 version=v1 state=active".
func (c *compiler) server(pool, name string, k *ini.Key) Server {
	s := Server{Name: name, Pool: pool}
	if !namePattern.MatchString(name) {
		c.addFault(k.Name(), "%q is no server name", name)
	}
	for _, word := range strings.Fields(k.Value()) {
		attr, value, _ := strings.Cut(word, "=")
		switch attr {
		case "zone":
			s.Zone = value
		case "addr":
			s.Address = value
		case "version":
			s.Version = value
		case "state":
			s.Leaving = value == "leaving"
			if value != "leaving" && value != "active" {
				c.addFault(k.Name(), "state %q is not accepted, want active or leaving", value)
			}
		default:
			c.addFault(k.Name(), "unknown attribute %q, want zone, addr, version or state", attr)
		}
	}
	if !namePattern.MatchString(s.Zone) {
		c.addFault(k.Name(), "want zone=NAME")
	}
	if host, _, err := net.SplitHostPort(s.Address); err != nil || net.ParseIP(host) == nil {
		c.addFault(k.Name(), "want addr=IP:PORT")
	}
	return s
}

func (c *compiler) account(name string, revision uint64) *Account {
	a := &Account{
		Name:      name,
		Revision:  revision,
		KeySHA256: strings.ToLower(c.text("key_sha256", "")),
		Weight:    c.number("weight", 1, 0.001, 1e6),
	}
	if raw, err := hex.DecodeString(a.KeySHA256); err != nil || len(raw) != 32 {
		c.addFault("key_sha256", "want the SHA-256 of the API key, 64 hexadecimal digits")
	}
	return a
}

// checkReferences checks that the pools and accounts named by a route exist.
func (c *compiler) checkReferences(t *Tables, r *Route) {
	for _, s := range r.Stages {
		if s.Pool != "" && t.Pools[s.Pool] == nil {
			c.addFault(s.Name+".pool", "no pool %q", s.Pool)
		}
	}
	for _, a := range r.Accounts {
		if t.Accounts[a] == nil {
			c.addFault("accounts", "no client account %q", a)
		}
	}
}

package config

import (
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind is the type of a setting's value.
type Kind int

const (
	String Kind = iota
	Int
	Float
	Bool
	Duration // Go duration, such as 250ms
	Size     // bytes, with an optional suffix KiB, MiB or GiB
	Address  // host:port with an IP address or localhost; empty means disabled
	Enum     // one of Key.Accepted
	List     // comma-separated words
)

var kindNames = [...]string{"string", "integer", "number", "boolean", "duration", "size", "address", "enum", "list"}

// String returns the kind's name as shown to operators.
func (k Kind) String() string { return kindNames[k] }

// mayBeEmpty reports whether the empty text is a value of the kind. For other
// kinds an empty text means that the setting is unset, as in a template with an
// empty field.
func (k Kind) mayBeEmpty() bool { return k == String || k == Address || k == List }

// Key declares one setting. A Section that ends in " *" is a pattern for any
// number of sections with that prefix, such as "operator *".
type Key struct {
	Section  string
	Name     string
	Kind     Kind
	Default  string
	Accepted []string
	Required bool
	// Secret excludes the value from dumps and error messages.
	Secret bool
	Doc    string
}

// valueFormats describes the accepted values of each kind that needs more than
// its name.
var valueFormats = map[Kind]string{
	Duration: "a duration with its unit, such as 250ms, 3s or 10m",
	Size:     "a size in bytes, or with a unit such as 64KiB or 1MiB",
	Address:  "an address IP:PORT",
	List:     "words separated by commas",
	Int:      "a whole number",
	Bool:     "true or false",
}

// Accepts describes the accepted values to operators.
func (k Key) Accepts() string {
	if k.Kind == Enum {
		return "one of " + strings.Join(k.Accepted, ", ")
	}
	if format, ok := valueFormats[k.Kind]; ok {
		return format
	}
	return "a " + k.Kind.String()
}

// Schema is the set of settings that a process declares.
type Schema struct {
	keys []Key
}

func (s *Schema) Add(keys ...Key) { s.keys = append(s.keys, keys...) }

// Keys returns the declared keys in order of declaration.
func (s *Schema) Keys() []Key { return slices.Clone(s.keys) }

// patternOf returns the schema section that matches a section of a file.
func patternOf(section string) string {
	if prefix, _, ok := strings.Cut(section, " "); ok {
		return prefix + " *"
	}
	return section
}

func (s *Schema) find(section, name string) (Key, bool) {
	pattern := patternOf(section)
	for _, k := range s.keys {
		if k.Section == pattern && k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

func (s *Schema) hasSection(section string) bool {
	pattern := patternOf(section)
	return slices.ContainsFunc(s.keys, func(k Key) bool { return k.Section == pattern })
}

// Settings holds the validated settings of one process. It is immutable.
type Settings struct {
	schema *Schema
	values map[lineKey]string
	// sections lists the known sections of the file, in order.
	sections []string
}

// Override replaces one setting of a file.
type Override struct{ Section, Name, Value string }

// ParseOverride parses an override of the form SECTION.NAME=VALUE.
func ParseOverride(text string) (Override, error) {
	key, value, ok := strings.Cut(text, "=")
	section, name, dotted := strings.Cut(key, ".")
	if !ok || !dotted || section == "" || name == "" {
		return Override{}, errors.Errorf("%q is not of the form SECTION.NAME=VALUE", text)
	}
	return Override{section, name, strings.TrimSpace(value)}, nil
}

// LoadFile reads and validates a settings file. The error is Faults if the file
// was read and its content, or an override, is invalid. An override without a value
// has no effect.
func (s *Schema) LoadFile(path string, overrides ...Override) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return s.Load(path, text, overrides...)
}

// Load validates the text of a settings file and returns its settings. Settings
// that the file lacks have their defaults. All problems are reported at once as
// Faults.
func (s *Schema) Load(name string, text []byte, overrides ...Override) (*Settings, error) {
	src, err := parseSource(name, text)
	if err != nil {
		return nil, err
	}
	set := &Settings{schema: s, values: make(map[lineKey]string)}
	faults := src.syntaxFaults()
	for _, section := range src.file.Sections() {
		if section.Name() == "DEFAULT" && len(section.Keys()) == 0 {
			continue
		}
		if !s.hasSection(section.Name()) {
			faults = append(faults, src.fault(section.Name(), "", "unknown section"))
			continue
		}
		set.sections = append(set.sections, section.Name())
		for _, k := range section.Keys() {
			faults = append(faults, set.setValue(src, section.Name(), k.Name(), k.Value())...)
		}
	}
	for _, o := range overrides {
		if o.Value != "" {
			faults = append(faults, set.setValue(src, o.Section, o.Name, o.Value)...)
		}
	}
	faults = append(faults, set.missingRequired(src)...)
	return set, faults.Err()
}

// setValue validates one value of the file and stores it.
func (s *Settings) setValue(src *source, section, name, value string) Faults {
	key, ok := s.schema.find(section, name)
	if !ok {
		return Faults{src.fault(section, name, "unknown key")}
	}
	if err := checkValue(key, value); err != nil {
		shown := strconv.Quote(value)
		if key.Secret {
			shown = "the value"
		}
		return Faults{src.fault(section, name, shown+" is not accepted, want "+key.Accepts())}
	}
	s.values[lineKey{section, name}] = value
	return nil
}

// missingRequired reports required keys that the file lacks.
func (s *Settings) missingRequired(src *source) Faults {
	var faults Faults
	for _, k := range s.schema.keys {
		if !k.Required {
			continue
		}
		for _, section := range s.matchingSections(k.Section) {
			if s.values[lineKey{section, k.Name}] == "" {
				faults = append(faults, src.fault(section, k.Name, "is required, want "+k.Accepts()))
			}
		}
	}
	return faults
}

// matchingSections returns the sections of the file that match a schema section.
func (s *Settings) matchingSections(pattern string) []string {
	if !strings.HasSuffix(pattern, " *") {
		return []string{pattern}
	}
	prefix := strings.TrimSuffix(pattern, "*")
	var out []string
	for _, section := range s.sections {
		if strings.HasPrefix(section, prefix) {
			out = append(out, section)
		}
	}
	return out
}

// Names returns the second words of the sections with the prefix. For the
// sections "operator alice" and "operator bob", Names("operator") returns alice
// and bob.
func (s *Settings) Names(prefix string) []string {
	var out []string
	for _, section := range s.matchingSections(prefix + " *") {
		out = append(out, strings.TrimPrefix(section, prefix+" "))
	}
	return out
}

// Lookup returns the text of a setting, or its default. It panics if the schema
// does not declare the setting, which is a programming error.
func (s *Settings) Lookup(section, name string) string {
	key, ok := s.schema.find(section, name)
	if !ok {
		panic("config: undeclared setting [" + section + "] " + name)
	}
	v, ok := s.values[lineKey{section, name}]
	if !ok || v == "" && !key.Kind.mayBeEmpty() {
		return key.Default
	}
	return v
}

func (s *Settings) String(section, name string) string { return s.Lookup(section, name) }

// Int returns the value of an integer setting.
func (s *Settings) Int(section, name string) int {
	n, _ := strconv.Atoi(s.Lookup(section, name))
	return n
}

// Float returns the value of a number setting.
func (s *Settings) Float(section, name string) float64 {
	f, _ := strconv.ParseFloat(s.Lookup(section, name), 64)
	return f
}

// Bool returns the value of a boolean setting.
func (s *Settings) Bool(section, name string) bool {
	b, _ := strconv.ParseBool(s.Lookup(section, name))
	return b
}

// Duration returns the value of a duration setting.
func (s *Settings) Duration(section, name string) time.Duration {
	d, _ := time.ParseDuration(s.Lookup(section, name))
	return d
}

// Bytes returns the value of a size setting in bytes.
func (s *Settings) Bytes(section, name string) int64 {
	n, _ := ParseSize(s.Lookup(section, name))
	return n
}

// Words returns the items of a list setting.
func (s *Settings) Words(section, name string) []string { return splitList(s.Lookup(section, name)) }

// Value is one setting as shown in dumps.
type Value struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
}

// Dump lists all settings with their active values. Secrets are masked.
func (s *Settings) Dump() []Value {
	var out []Value
	for _, k := range s.schema.keys {
		for _, section := range s.matchingSections(k.Section) {
			v := s.Lookup(section, k.Name)
			if k.Secret && v != "" {
				v = "(secret)"
			}
			out = append(out, Value{Section: section, Key: k.Name, Value: v})
		}
	}
	return out
}

// Changed returns the settings whose values differ, as "[section] name".
func Changed(a, b *Settings) []string {
	var names []string
	for _, k := range a.schema.keys {
		if strings.HasSuffix(k.Section, " *") {
			continue // either file may lack sections of a pattern
		}
		if a.Lookup(k.Section, k.Name) != b.Lookup(k.Section, k.Name) {
			names = append(names, "["+k.Section+"] "+k.Name)
		}
	}
	return names
}

func splitList(text string) []string {
	var out []string
	for _, w := range strings.Split(text, ",") {
		if w = strings.TrimSpace(w); w != "" {
			out = append(out, w)
		}
	}
	return out
}

// checkValue returns an error if a text is not a valid value of the key's kind. It
// accepts the empty text: missingRequired reports required keys without a value.
func checkValue(k Key, v string) error {
	if v == "" {
		return nil
	}
	var err error
	switch k.Kind {
	case Int:
		_, err = strconv.Atoi(v)
	case Float:
		_, err = strconv.ParseFloat(v, 64)
	case Bool:
		_, err = strconv.ParseBool(v)
	case Duration:
		var d time.Duration
		if d, err = time.ParseDuration(v); err == nil && d < 0 {
			err = errors.New("negative duration")
		}
	case Size:
		_, err = ParseSize(v)
	case Address:
		err = checkAddress(v)
	case Enum:
		if !slices.Contains(k.Accepted, v) {
			err = errors.New("not one of the accepted values")
		}
	}
	return err
}

func checkAddress(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return err
	}
	if host != "localhost" && net.ParseIP(host) == nil {
		return errors.Errorf("%q is not an IP address", host)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return errors.Errorf("%q is not a port number", port)
	}
	_ = n
	return nil
}

// Size units in bytes.
const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30
)

// ParseSize reads a size in bytes such as 512, 64KiB or 1MiB.
func ParseSize(text string) (int64, error) {
	unit := int64(1)
	for suffix, factor := range map[string]int64{"KiB": kib, "MiB": mib, "GiB": gib} {
		if strings.HasSuffix(text, suffix) {
			text = strings.TrimSpace(strings.TrimSuffix(text, suffix))
			unit = factor
			break
		}
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > (1<<62)/unit {
		return 0, errors.Errorf("%q is not a size", text)
	}
	return n * unit, nil
}

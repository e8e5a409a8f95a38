package config

import (
	"regexp"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// source is a parsed INI text with the line of each section and key, which the
// INI library does not keep.
type source struct {
	name  string
	file  *ini.File
	lines map[lineKey]int
	// repeated lists sections and keys that occur more than once.
	repeated []lineKey
	// malformed lists headings that do not match headingPattern.
	malformed []lineKey
}

// headingPattern matches the only accepted form of a heading. The INI library
// also accepts text after the last bracket, which would let two different
// headings name the same section.
var headingPattern = regexp.MustCompile(`^\[[^\[\]]+\]$`)

type lineKey struct{ section, key string }

// parseSource parses INI text. The error is Faults if the text is not valid INI.
func parseSource(name string, text []byte) (*source, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		Insensitive:         false,
		IgnoreInlineComment: true,
		IgnoreContinuation:  true,
		KeyValueDelimiters:  "=",
	}, text)
	if err != nil {
		return nil, Faults{{File: name, Problem: errors.Wrap(err, "not INI").Error()}}
	}
	src := &source{name: name, file: file, lines: make(map[lineKey]int)}
	src.index(text)
	return src, nil
}

// index records the line of each section and key, and malformed headings.
func (s *source) index(text []byte) {
	section := ini.DefaultSection
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			s.addLine(lineKey{section: section}, i+1)
			if !headingPattern.MatchString(line) {
				s.malformed = append(s.malformed, lineKey{section: section})
			}
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			s.addLine(lineKey{section, strings.TrimSpace(key)}, i+1)
		}
	}
}

func (s *source) addLine(k lineKey, line int) {
	if _, seen := s.lines[k]; seen {
		s.repeated = append(s.repeated, k)
		return
	}
	s.lines[k] = line
}

// fault returns a Fault with the line of the key, or of its section if the key
// is absent.
func (s *source) fault(section, key, problem string) Fault {
	line, ok := s.lines[lineKey{section, key}]
	if !ok {
		line = s.lines[lineKey{section: section}]
	}
	return Fault{File: s.name, Line: line, Section: section, Key: key, Problem: problem}
}

// syntaxFaults returns a fault for each repeated section or key and each
// malformed heading.
func (s *source) syntaxFaults() Faults {
	var fs Faults
	for _, k := range s.malformed {
		fs = append(fs, s.fault(k.section, "", "want a heading of the form [KIND NAME] and nothing behind it"))
	}
	for _, k := range s.repeated {
		fs = append(fs, s.fault(k.section, k.key, "stands more than once"))
	}
	return fs
}

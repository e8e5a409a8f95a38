package config

import (
	"regexp"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// source is a parsed INI text that remembers the line of each section and key,
// which the INI library does not keep.
type source struct {
	name  string
	file  *ini.File
	lines map[lineKey]int
	// repeated lists sections and keys that stand more than once.
	repeated []lineKey
	// malformed lists headings that are more than a name between brackets.
	malformed []lineKey
}

// headingPattern is the one form of a heading. The INI library also takes text
// behind the last bracket, under which two names could stand for one section.
var headingPattern = regexp.MustCompile(`^\[[^\[\]]+\]$`)

type lineKey struct{ section, key string }

// parseSource reads INI text. The error is Faults when the text is no INI.
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

// index records where each section and key stands.
func (s *source) index(text []byte) {
	section := ini.DefaultSection
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			s.note(lineKey{section: section}, i+1)
			if !headingPattern.MatchString(line) {
				s.malformed = append(s.malformed, lineKey{section: section})
			}
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			s.note(lineKey{section, strings.TrimSpace(key)}, i+1)
		}
	}
}

func (s *source) note(k lineKey, line int) {
	if _, seen := s.lines[k]; seen {
		s.repeated = append(s.repeated, k)
		return
	}
	s.lines[k] = line
}

// fault makes a fault that points at the key, or at its section if the key is
// absent.
func (s *source) fault(section, key, problem string) Fault {
	line, ok := s.lines[lineKey{section, key}]
	if !ok {
		line = s.lines[lineKey{section: section}]
	}
	return Fault{File: s.name, Line: line, Section: section, Key: key, Problem: problem}
}

// formFaults reports sections and keys that stand more than once, and malformed
// headings.
func (s *source) formFaults() Faults {
	var fs Faults
	for _, k := range s.malformed {
		fs = append(fs, s.fault(k.section, "", "want a heading of the form [KIND NAME] and nothing behind it"))
	}
	for _, k := range s.repeated {
		fs = append(fs, s.fault(k.section, k.key, "stands more than once"))
	}
	return fs
}

package config

import (
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// revisionComment matches the comment above a section's heading that states the
// section's revision.
var revisionComment = regexp.MustCompile(`^# revision (\d+)\b`)

// AnnotatedText returns the section's text below a comment with its revision, so
// that an edit of that text can state the revision on which it is based.
func (s Section) AnnotatedText() string {
	by := ""
	if s.EditedBy != "" {
		by = " by " + s.EditedBy
	}
	return "# revision " + strconv.FormatUint(s.Revision, 10) + by + "\n" + s.Text()
}

// SplitSections reads the sections of a file without validating their content.
// Sections are ordered so that each follows the kinds it refers to. A section's
// Revision is taken from the comment above its heading, or 0 without one. The
// error is Faults.
func SplitSections(name string, text []byte) ([]Section, error) {
	src, err := parseSource(name, text)
	if err != nil {
		return nil, err
	}
	revisions := parseRevisions(string(text))
	var out []Section
	faults := src.syntaxFaults()
	for _, s := range src.file.Sections() {
		if s.Name() == ini.DefaultSection {
			if len(s.Keys()) > 0 {
				faults = append(faults, src.fault(s.Name(), "", "keys before the first heading"))
			}
			continue
		}
		out = append(out, Section{Name: s.Name(), Body: bodyOf(s), Revision: revisions[s.Name()]})
	}
	order := []SectionKind{AccountSection, ZoneSection, PoolSection, RouteSection}
	slices.SortStableFunc(out, func(a, b Section) int {
		return slices.Index(order, a.Kind()) - slices.Index(order, b.Kind())
	})
	return out, faults.Err()
}

// parseRevisions reads the revision comments, by section name.
func parseRevisions(text string) map[string]uint64 {
	revisions := make(map[string]uint64)
	var last uint64
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if m := revisionComment.FindStringSubmatch(line); m != nil {
			last, _ = strconv.ParseUint(m[1], 10, 64)
		}
		if strings.HasPrefix(line, "[") {
			revisions[strings.TrimSpace(strings.Trim(line, "[]"))] = last
			last = 0
		}
	}
	return revisions
}

// BodyKey is a key of a section's body with its value.
type BodyKey struct{ Name, Value string }

// WithKeys returns a body with the keys set. Keys with an empty value are removed.
func WithKeys(body string, keys ...BodyKey) string {
	var b strings.Builder
	for _, line := range strings.Split(strings.TrimRight(body, "\n"), "\n") {
		name, _, ok := strings.Cut(line, "=")
		replaced := slices.ContainsFunc(keys, func(k BodyKey) bool { return ok && k.Name == strings.TrimSpace(name) })
		if !replaced && line != "" {
			b.WriteString(line + "\n")
		}
	}
	for _, k := range keys {
		if k.Value != "" {
			b.WriteString(k.Name + " = " + k.Value + "\n")
		}
	}
	return b.String()
}

// BodyValue returns the value of a key in a body, or "" if it has none.
func BodyValue(body, key string) string {
	for _, line := range strings.Split(body, "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == key {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

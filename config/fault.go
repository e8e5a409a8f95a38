package config

import (
	"fmt"
	"strings"
)

// Fault is one problem found in a settings file or a table. Line counts from 1;
// 0 means that the problem belongs to no single line.
type Fault struct {
	File    string
	Line    int
	Section string
	Key     string
	Problem string
}

// String formats the fault as "file:line: [section] key: problem".
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, ": [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	b.WriteString(": ")
	b.WriteString(f.Problem)
	return b.String()
}

// Faults lists every problem of one input. It is an error when it is not empty.
type Faults []Fault

// Error implements error. It returns one line per fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const (
	// maxLogLine bounds a log line in bytes.
	maxLogLine = 1 << 20
	// contextWindow is the time before a request and after it for which changes
	// of what its instance believed are shown with it.
	contextWindow = 2 * time.Second
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain ID", Short: "Tell the story of a request from the logs of all instances", Args: exactArgs(1),
		Long: "explain reads log lines in JSON from standard input and prints, in order of time, every decision on the\n" +
			"request with the ID, and what the instances that had it learned shortly before and meanwhile.",
		Example: "  cat *.log | savoryfoldctl explain 9c41d07be2a35f68",
		RunE: func(cmd *cobra.Command, args []string) error {
			return explain(cmd.InOrStdin(), cmd.OutOrStdout(), args[0])
		},
	}
}

// logLine is one line of an instance's log.
type logLine struct {
	at       time.Time
	instance string
	request  string
	level    string
	msg      string
	fields   map[string]any
}

// explain prints the story of a request.
func explain(in io.Reader, out io.Writer, id string) error {
	lines, err := readLog(in)
	if err != nil {
		return err
	}
	story := selectLines(lines, id)
	if len(story) == 0 {
		return exitError{errors.Errorf("no line of %d names request %q: its story was left out (see the lines \"requests left out of the log\"), it ended well and is not in the sample, or it reached other instances", len(lines), id), exitFailed}
	}
	first := story[0].at
	for _, l := range story {
		mark := " "
		if l.request != id {
			mark = "." // what the instance learned, beside the request
		}
		fmt.Fprintf(out, "%+9.3f s %s %-24s %-32s %s\n", l.at.Sub(first).Seconds(), mark, l.instance, l.msg, formatFields(l.fields))
	}
	return nil
}

// readLog reads the lines that are log lines; others are skipped, as logs that
// were collected may hold anything in between.
func readLog(in io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "log")
}

// parseLine reads a log line, before which a collector may have put a prefix.
func parseLine(text []byte) (logLine, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[begin:], &fields) != nil {
		return logLine{}, false
	}
	take := func(name string) string {
		s, _ := fields[name].(string) // another type is no field of ours
		delete(fields, name)
		return s
	}
	l := logLine{instance: take("instance"), request: take("request"), level: take("level"), msg: take("msg"), fields: fields}
	at, err := time.Parse(time.RFC3339Nano, take("time"))
	l.at = at
	return l, err == nil && l.msg != ""
}

// selectLines returns the lines of a request, and beside them what the instances
// that had it learned around that time, in order of time.
func selectLines(lines []logLine, id string) []logLine {
	type span struct{ first, last time.Time }
	spans := make(map[string]*span)
	for _, l := range lines {
		if l.request != id {
			continue
		}
		s := spans[l.instance]
		if s == nil {
			spans[l.instance] = &span{l.at, l.at}
			continue
		}
		if l.at.Before(s.first) {
			s.first = l.at
		}
		if l.at.After(s.last) {
			s.last = l.at
		}
	}
	var story []logLine
	for _, l := range lines {
		s := spans[l.instance]
		if s == nil || l.request != "" && l.request != id {
			continue
		}
		if l.request == id || l.at.After(s.first.Add(-contextWindow)) && l.at.Before(s.last.Add(contextWindow)) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b logLine) int { return a.at.Compare(b.at) })
	return story
}

// formatFields shows a line's fields. Whole numbers of nanoseconds are shown as
// durations where the name says that they are.
func formatFields(fields map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value := fields[name]
		if n, ok := value.(float64); ok && durationFields[name] {
			value = time.Duration(n).Round(10 * time.Microsecond)
		}
		if text := fmt.Sprint(value); text != "" && text != "<nil>" {
			fmt.Fprintf(&b, "%s=%s ", name, text)
		}
	}
	return strings.TrimSuffix(b.String(), " ")
}

// durationFields names the fields of log lines that hold durations.
var durationFields = map[string]bool{
	"took": true, "left": true, "rest": true, "retry_after": true, "entry_age": true, "since_begin": true, "for": true,
	"forecast_in_time": true, "forecast_late": true, "to_goal": true, "cold_for": true, "within": true,
}

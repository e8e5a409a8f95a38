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
	// maxLogLineBytes is the longest log line that is read.
	maxLogLineBytes = 1 << 20
	// contextWindow is the time before and after a request within which other log
	// lines of its instances are shown, such as changes of the state of servers.
	contextWindow = 2 * time.Second
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain ID", Short: "Show the logged decisions on a request, from the logs of all instances", Args: exactArgs(1),
		Long: "explain reads log lines in JSON from standard input and prints, in order of time, every logged decision on\n" +
			"the request with the ID, and what its instances logged about other events shortly before, during and shortly after it.",
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

// explain prints the log lines of a request and the events around it.
func explain(in io.Reader, out io.Writer, id string) error {
	lines, err := readLog(in)
	if err != nil {
		return err
	}
	selected := selectLines(lines, id)
	if len(selected) == 0 {
		return exitError{errors.Errorf("none of %d log lines mentions request %q: it was over the rate limit of the request log (see the log lines \"requests left out of the log\"), it succeeded and is not in the sample, or it reached other instances", len(lines), id), exitFailed}
	}
	first := selected[0].at
	for _, l := range selected {
		marker := " "
		if l.request != id {
			marker = "." // an event around the request
		}
		fmt.Fprintf(out, "%+9.3f s %s %-24s %-32s %s\n", l.at.Sub(first).Seconds(), marker, l.instance, l.msg, formatFields(l.fields))
	}
	return nil
}

// readLog reads log lines. It skips other lines, because collected logs may
// contain them.
func readLog(in io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "log")
}

// parseLine parses a log line. It ignores a prefix, which a log collector may have
// added.
func parseLine(text []byte) (logLine, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[begin:], &fields) != nil {
		return logLine{}, false
	}
	takeString := func(name string) string {
		s, _ := fields[name].(string) // savoryfold logs these fields as strings only
		delete(fields, name)
		return s
	}
	l := logLine{instance: takeString("instance"), request: takeString("request"), level: takeString("level"), msg: takeString("msg"), fields: fields}
	at, err := time.Parse(time.RFC3339Nano, takeString("time"))
	l.at = at
	return l, err == nil && l.msg != ""
}

// selectLines returns the lines of a request, and the lines without a request that
// its instances logged within contextWindow of it, in order of time.
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
	var selected []logLine
	for _, l := range lines {
		s := spans[l.instance]
		if s == nil || l.request != "" && l.request != id {
			continue
		}
		if l.request == id || l.at.After(s.first.Add(-contextWindow)) && l.at.Before(s.last.Add(contextWindow)) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int { return a.at.Compare(b.at) })
	return selected
}

// formatFields formats the fields of a line, sorted by name. Fields named in
// durationFields are formatted as durations; log lines hold them in nanoseconds.
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

// durationFields are the fields of log lines that hold durations in nanoseconds.
var durationFields = map[string]bool{
	"took": true, "left": true, "rest": true, "retry_after": true, "entry_age": true, "since_begin": true, "for": true,
	"limit_age": true, "ended_ago": true, "retry_in": true, "forecast_in_time": true, "forecast_late": true, "to_goal": true, "cold_for": true, "within": true,
}

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/api"
	"github.com/savoryfold/savoryfold/config"
)

func zoneCommand(s *session) *cobra.Command {
	root := &cobra.Command{
		Use:     "zone",
		Short:   "Take an availability zone out of service, or bring it back",
		Example: "  savoryfoldctl zone out hobart",
	}
	for _, state := range []string{"out", "in"} {
		var f editFlags
		cmd := &cobra.Command{
			Use: state + " NAME", Short: "Set the state of an availability zone to " + state, Args: exactArgs(1),
			Example: "  savoryfoldctl zone " + state + " hobart",
			RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
				return s.changeKeys(cmd, c, &f, "zone "+args[0], true, config.BodyKey{Name: "state", Value: state})
			}),
		}
		f.add(cmd)
		root.AddCommand(cmd)
	}
	return root
}

// changeKeys sets keys of a section. If the section does not exist, it is created
// if createMissing is set; otherwise an error is returned.
func (s *session) changeKeys(cmd *cobra.Command, c *api.Client, f *editFlags, name string, createMissing bool, keys ...config.BodyKey) error {
	section, err := c.Section(cmd.Context(), name)
	var problem *api.ProblemError
	if createMissing && errors.As(err, &problem) && problem.Status == http.StatusNotFound {
		err = nil
	}
	if err != nil {
		return err
	}
	base, err := f.baseOr(section.Revision)
	if err != nil {
		return err
	}
	return s.edit(cmd, c, f, config.Edit{Section: name, Body: config.WithKeys(section.Body, keys...), Base: base})
}

func versionCommand(s *session) *cobra.Command {
	root := &cobra.Command{
		Use:     "version",
		Short:   "Move a route to a new version, roll the move back, or pin a version",
		Example: "  savoryfoldctl version move answer --from v1 --to v2 --by +30m",
	}
	root.AddCommand(versionMoveCommand(s), versionStopCommand(s), versionPinCommand(s))
	return root
}

func versionMoveCommand(s *session) *cobra.Command {
	var f editFlags
	var from, to, start, by string
	cmd := &cobra.Command{
		Use:     "move ROUTE",
		Short:   "Move a route's traffic to a new version by a set time",
		Args:    exactArgs(1),
		Example: "  savoryfoldctl version move answer --from v1 --to v2 --by +30m\n  savoryfoldctl version move answer --from v1 --to v2 --start 2026-01-02T20:00:00Z --by 2026-01-02T22:00:00Z",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
			now := time.Now()
			begin, err := parseTime(start, now)
			if err != nil {
				return err
			}
			end, err := parseTime(by, now)
			if err != nil {
				return err
			}
			return s.changeKeys(cmd, c, &f, "route "+args[0], false, moveKeys(from, to, begin, end)...)
		}),
	}
	cmd.Flags().StringVar(&from, "from", "", "the old version")
	cmd.Flags().StringVar(&to, "to", "", "the new version")
	cmd.Flags().StringVar(&start, "start", "+0s", "start of the move, a time or +DURATION from now")
	cmd.Flags().StringVar(&by, "by", "", "time by which the new version carries all traffic, a time or +DURATION from now")
	for _, name := range []string{"from", "to", "by"} {
		_ = cmd.MarkFlagRequired(name)
	}
	f.add(cmd)
	return cmd
}

// parseTime parses a time in RFC 3339, or +DURATION from now.
func parseTime(text string, now time.Time) (time.Time, error) {
	if after, ok := strings.CutPrefix(text, "+"); ok {
		d, err := time.ParseDuration(after)
		if err == nil {
			return now.Add(d), nil
		}
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, exitError{errors.Errorf("%q is not a time, want +30m or 2026-01-02T22:00:00Z", text), exitUsage}
	}
	return t, nil
}

// moveKeys returns a route's keys for a move to another version. The empty value
// of version removes a pinned version.
func moveKeys(from, to string, start, by time.Time) []config.BodyKey {
	return []config.BodyKey{
		{Name: "version"},
		{Name: "move.from", Value: from},
		{Name: "move.to", Value: to},
		{Name: "move.start", Value: start.UTC().Format(time.RFC3339)},
		{Name: "move.by", Value: by.UTC().Format(time.RFC3339)},
	}
}

// pinKeys returns a route's keys that end a move and pin a version. An empty
// version removes the pin, so that any version serves.
func pinKeys(version string) []config.BodyKey {
	return []config.BodyKey{
		{Name: "move.from"}, {Name: "move.to"}, {Name: "move.start"}, {Name: "move.by"},
		{Name: "version", Value: version},
	}
}

func versionStopCommand(s *session) *cobra.Command {
	var f editFlags
	cmd := &cobra.Command{
		Use:     "stop ROUTE",
		Short:   "Roll a move back and pin the old version",
		Args:    exactArgs(1),
		Example: "  savoryfoldctl version stop answer",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
			section, err := c.Section(cmd.Context(), "route "+args[0])
			if err != nil {
				return err
			}
			from := config.BodyValue(section.Body, "move.from")
			if from == "" {
				return errors.Errorf("route %s has no move", args[0])
			}
			return s.changeKeys(cmd, c, &f, "route "+args[0], false, pinKeys(from)...)
		}),
	}
	f.add(cmd)
	return cmd
}

func versionPinCommand(s *session) *cobra.Command {
	var f editFlags
	cmd := &cobra.Command{
		Use:     "pin ROUTE [VERSION]",
		Short:   "Pin a route to a version and end its move; without VERSION any version serves",
		Args:    cobra.RangeArgs(1, 2),
		Example: "  savoryfoldctl version pin answer v2",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
			version := ""
			if len(args) > 1 {
				version = args[1]
			}
			return s.changeKeys(cmd, c, &f, "route "+args[0], false, pinKeys(version)...)
		}),
	}
	f.add(cmd)
	return cmd
}

func movesCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "moves", Short: "Show the state of moves of versions and availability zones", Args: exactArgs(0),
		Example: "  savoryfoldctl moves",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, _ []string) error {
			moves, err := c.Moves(cmd.Context())
			if err != nil {
				return err
			}
			var text strings.Builder
			for _, m := range moves {
				fmt.Fprintf(&text, "%-8s %-24s %-11s share %.3f  %s -> %s", m.Kind, m.Name, m.State, m.Share, m.From, m.To)
				if !m.By.IsZero() {
					fmt.Fprintf(&text, "  by %s", m.By.UTC().Format(time.RFC3339))
				}
				fmt.Fprintf(&text, "  %s\n", m.Why)
			}
			return s.print(cmd, moves, text.String)
		}),
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/api"
)

func appliedCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "applied REVISION", Short: "Show on how many instances a revision is active", Args: exactArgs(1),
		Example: "  savoryfoldctl applied 17",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
			revision, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return exitError{errors.New("want a revision (a whole number)"), exitUsage}
			}
			a, err := c.Applied(cmd.Context(), revision)
			if err != nil {
				return err
			}
			return s.print(cmd, a, func() string { return fmt.Sprintf("revision %d: %s\n", revision, appliedText(a)) })
		}),
	}
}

func appliedText(a api.Applied) string {
	text := fmt.Sprintf("active on %d of %d instances", a.Active, a.Instances)
	if len(a.Behind) > 0 {
		text += ", not on " + strings.Join(a.Behind, ", ")
	}
	return text
}

func membersCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "members", Short: "List the instances as one instance sees them", Args: exactArgs(0),
		Example: "  savoryfoldctl members",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, _ []string) error {
			v, err := c.Members(cmd.Context())
			if err != nil {
				return err
			}
			var text strings.Builder
			for _, m := range v.Members {
				fmt.Fprintf(&text, "%-24s %-16s %-9s revision %d\n", m.ID, m.Zone, m.State, m.ConfigRevision)
			}
			return s.print(cmd, v, text.String)
		}),
	}
}

func dumpCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "dump", Short: "Print the state of the instance that --server names, as JSON", Args: exactArgs(0),
		Example: "  savoryfoldctl --server http://127.0.0.1:9090 dump",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, _ []string) error {
			d, err := c.Dump(cmd.Context())
			if err != nil {
				return err
			}
			return printJSON(cmd, d)
		}),
	}
}

func logCommand(s *session) *cobra.Command {
	var from uint64
	cmd := &cobra.Command{
		Use: "log STREAM", Short: "Print decoded records of a stream of the log service, one per line", Args: exactArgs(1),
		Example: "  savoryfoldctl log config --from 1",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
			r, err := c.Records(cmd.Context(), args[0], from)
			if err != nil {
				return err
			}
			return s.print(cmd, r, func() string { return recordsText(r) })
		}),
	}
	cmd.Flags().Uint64Var(&from, "from", 1, "first offset")
	return cmd
}

func recordsText(r api.Records) string {
	var b strings.Builder
	for _, rec := range r.Records {
		data, err := json.Marshal(rec.Data)
		text := string(data)
		if err != nil || rec.Problem != "" {
			text = "cannot be decoded: " + rec.Problem
		}
		fmt.Fprintf(&b, "%d %s %s\n", rec.Offset, rec.Time, text)
	}
	fmt.Fprintf(&b, "the log holds offsets %d to %d of %s\n", r.First, r.Next-1, r.Stream)
	return b.String()
}

func logLevelCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "log-level LEVEL", Short: "Change the lowest level that an instance logs: debug, info, warn or error", Args: exactArgs(1),
		Example: "  savoryfoldctl log-level debug",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
			return c.SetLogLevel(cmd.Context(), args[0])
		}),
	}
}

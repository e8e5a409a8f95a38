package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/api"
	"github.com/savoryfold/savoryfold/kernel"
)

func explainChoiceCommand(s *session) *cobra.Command {
	var headers []string
	var service string
	cmd := &cobra.Command{
		Use: "explain-choice HOST PATH", Short: "Show where an instance would send a request now, and why, without sending it", Args: exactArgs(2),
		Long: "explain-choice asks the instance that --server names where it would send a request with this host, path and\n" +
			"headers now. It lists what would refuse the request, the expected times of its stages, and the servers: the share\n" +
			"of such requests that each would get, what the instance knows of it and how old that is, or what excludes it.\n" +
			"Nothing is sent, no permit is taken and nothing is counted.",
		Example: "  savoryfoldctl explain-choice app.example /answer/ -H 'Model: m' -H 'Prompt-Prefix: 5c1e07a2:800,91bd3f06:410'",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
			q := kernel.ChoiceQuery{Host: args[0], Path: args[1], Service: service, Header: make(map[string]string)}
			for _, h := range headers {
				name, value, ok := strings.Cut(h, ":")
				if !ok {
					return exitError{errors.Errorf("header %q: want NAME: VALUE", h), exitUsage}
				}
				q.Header[strings.TrimSpace(name)] = strings.TrimSpace(value)
			}
			x, err := c.ExplainChoice(cmd.Context(), q)
			if err != nil {
				return err
			}
			return s.print(cmd, x, func() string { return choiceText(x) })
		}),
	}
	cmd.Flags().StringArrayVarP(&headers, "header", "H", nil, "a header of the request, NAME: VALUE; may be repeated")
	cmd.Flags().StringVar(&service, "service", "", "service to explain if the route divides its requests; default: the one that gets most")
	return cmd
}

func choiceText(x kernel.ChoiceExplanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s at %s, configuration %d: route %q, service %q, account %q\n", x.Instance, x.At.UTC().Format(time.RFC3339Nano), x.Config, x.Route, x.Service, x.Account)
	for _, reason := range x.Refusals {
		fmt.Fprintf(&b, "refused: %s\n", reason)
	}
	for _, s := range x.Stages {
		fmt.Fprintf(&b, "stage on %s: %d ms, %d ms if late\n", s.Service, s.InTimeMillis, s.LateMillis)
	}
	for _, s := range x.Servers {
		why := fmt.Sprintf("%3.0f %% %s", 100*s.Share, s.Reason)
		if s.Excluded != "" {
			why = "excluded: " + s.Excluded
		}
		if s.RetryInMillis > 0 {
			why += fmt.Sprintf(", retry in %d ms", s.RetryInMillis)
		}
		known := "no load reported"
		if s.AgeMillis >= 0 {
			known = fmt.Sprintf("load %.1f, %d ms old", s.Load, s.AgeMillis)
		}
		if s.Pace > 0 {
			known += fmt.Sprintf(", pace %.2f, at rest %.2f", s.Pace, s.RestPace)
		}
		fmt.Fprintf(&b, "%-24s %-16s %-24s own %d, %s, first byte %d ms\n", s.ID, s.Zone, why, s.InFlight, known, s.FirstByteMillis)
	}
	return b.String()
}

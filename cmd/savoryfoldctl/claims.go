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

func claimsCommand(s *session) *cobra.Command {
	root := &cobra.Command{
		Use:     "claims",
		Short:   "List and settle requests that may have run",
		Example: "  savoryfoldctl claims list",
	}
	root.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List the claims in doubt", Args: exactArgs(0),
			Example: "  savoryfoldctl claims list",
			RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, _ []string) error {
				claims, err := c.Claims(cmd.Context())
				if err != nil {
					return err
				}
				var text strings.Builder
				for _, claim := range claims {
					fmt.Fprintf(&text, "%s %s %s  claimed %s by %s: %s\n", claim.Account, claim.Route, claim.Key,
						claim.Claimed.UTC().Format(time.RFC3339), claim.Holder, claim.Why)
				}
				return s.print(cmd, claims, text.String)
			}),
		},
		settleCommand(s),
	)
	return root
}

func settleCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:     "settle ACCOUNT ROUTE KEY VERDICT",
		Short:   "Settle a claim in doubt; the verdict is ran or not-run",
		Args:    exactArgs(4),
		Example: "  savoryfoldctl claims settle yard-7 certificate 01935a2e-7d1c-7cc0-8000-000000000001 ran",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
			claims, err := c.Claims(cmd.Context())
			if err != nil {
				return err
			}
			for _, claim := range claims {
				if claim.Account == args[0] && claim.Route == args[1] && claim.Key == args[2] {
					return c.Settle(cmd.Context(), api.Settlement{Claim: claim, Verdict: kernel.Verdict(args[3])})
				}
			}
			return errors.New("no such claim in doubt")
		}),
	}
}

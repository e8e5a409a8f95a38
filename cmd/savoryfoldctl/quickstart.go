package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/internal/quickstart"
)

const quickstartTimeout = 15 * time.Second

func quickstartCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "quickstart",
		Example: "  savoryfoldctl quickstart",
		Short:   "Serve one four-stage request with three instances and stand-ins in this process",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), quickstartTimeout)
			defer cancel()
			return quickstart.Run(ctx, cmd.OutOrStdout())
		},
	}
}

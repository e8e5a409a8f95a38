package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/config"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a tables file and report every error with its line",
		Example: "  savoryfoldctl check tables.ini",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return exitError{err, exitUsage}
			}
			t, err := config.ParseTables(args[0], text)
			if err != nil {
				return exitError{err, exitUsage}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is valid: %d routes, %d pools, %d zones, %d client accounts\n",
				args[0], len(t.Routes), len(t.Pools), len(t.Zones), len(t.Accounts))
			return nil
		},
	}
}

// Command savoryfoldctl is the command line tool for operators of savoryfold.
//
// Exit codes: 0 success, 1 failure, 2 invalid arguments or an invalid file, 3 the
// edit was superseded by another edit.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/internal/version"
)

const (
	exitFailed     = 1
	exitUsage      = 2
	exitSuperseded = 3
)

// exitError is an error with an exit code.
type exitError struct {
	error
	code int
}

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitCode(err))
}

// usageErrors are the prefixes of cobra's errors for invalid arguments.
var usageErrors = []string{"unknown command", "required flag", "accepts "}

func exitCode(err error) int {
	var coded exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	for _, usage := range usageErrors {
		if strings.HasPrefix(err.Error(), usage) {
			return exitUsage
		}
	}
	return exitFailed
}

func command() *cobra.Command {
	s := &session{}
	root := &cobra.Command{
		Use:   "savoryfoldctl",
		Short: "Operate savoryfold",
		Long: "savoryfoldctl operates savoryfold through the administration API of any instance.\n\n" +
			"Exit codes: 0 success, 1 failure, 2 invalid arguments or an invalid file, 3 the edit\nwas superseded by another edit.",
		Version:       version.Version,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitError{err, exitUsage} })
	s.addFlags(root)
	root.AddCommand(
		explainCommand(), quickstartCommand(), checkCommand(), hashCommand(), keysCommand(), loadCommand(),
		tablesCommand(s), zoneCommand(s), versionCommand(s),
		sectionCommand(s, "route"), sectionCommand(s, "pool"), sectionCommand(s, "account"), sectionCommand(s, "zone"),
		movesCommand(s), membersCommand(s), appliedCommand(s), claimsCommand(s),
		explainChoiceCommand(s), dumpCommand(s), logCommand(s), logLevelCommand(s),
	)
	return root
}

// exactArgs is cobra.ExactArgs with the exit code for invalid arguments.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return exitError{err, exitUsage}
		}
		return nil
	}
}

// Command savoryfoldctl is the operators' tool of savoryfold.
//
// Exit codes: 0 done, 1 failed, 2 wrong arguments or faults in a file, 3 the
// edit was superseded by another.
package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/internal/version"
)

const (
	exitFailed     = 1
	exitUsage      = 2
	exitSuperseded = 3
)

// exitError is an error with the program's exit code.
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
	code := exitFailed
	var coded exitError
	if errors.As(err, &coded) {
		code = coded.code
	}
	os.Exit(code)
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "savoryfoldctl",
		Short:         "Operate savoryfold",
		Version:       version.Version,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitError{err, exitUsage} })
	root.AddCommand(quickstartCommand(), checkCommand(), loadCommand())
	return root
}

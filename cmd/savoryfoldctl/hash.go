package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/internal/httpapi"
)

func hashCommand() *cobra.Command {
	var generate bool
	cmd := &cobra.Command{
		Use:   "hash",
		Short: "Print the SHA-256 of a token or API key that is read from standard input",
		Long: "Print the SHA-256 of a token or API key, in the format of settings and tables.\n\n" +
			"The key is the first line of standard input, so that it does not show\nin the process list. With --new a new key is generated and printed before its hash.",
		Args:    exactArgs(0),
		Example: "  savoryfoldctl hash < token.txt\n  savoryfoldctl hash --new",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if generate {
				key := rand.Text()
				fmt.Fprintf(cmd.OutOrStdout(), "key    %s\nsha256 %s\n", key, httpapi.HashToken(key))
				return nil
			}
			line, err := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
			key := strings.TrimSpace(line)
			if key == "" {
				return exitError{errors.Errorf("no key on standard input: %v", err), exitUsage}
			}
			fmt.Fprintln(cmd.OutOrStdout(), httpapi.HashToken(key))
			return nil
		},
	}
	cmd.Flags().BoolVar(&generate, "new", false, "generate a new key")
	return cmd
}

// Command savoryfold-standin serves stand-ins of backend servers and of the
// platform, for tests and trials.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/internal/version"
	"github.com/savoryfold/savoryfold/standin"
)

const (
	exitFailed   = 1
	stopDeadline = 5 * time.Second
)

func main() {
	if err := command().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "savoryfold-standin",
		Short:         "Stand-ins of backend servers and of the platform",
		Version:       version.Version,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.PersistentFlags().String("listen", "127.0.0.1:0", "address to serve on; port 0 takes a free one")
	root.AddCommand(serviceCommand(), engineCommand(), logCommand())
	return root
}

func serviceCommand() *cobra.Command {
	s := &standin.Service{}
	cmd := &cobra.Command{
		Use:   "service",
		Short: "A plain service that counts executions by idempotency key",
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd, s.Handler()) },
	}
	cmd.Flags().StringVar(&s.Name, "name", "service", "name in answers")
	cmd.Flags().DurationVar(&s.Work, "work", 5*time.Millisecond, "time of one call")
	return cmd
}

func engineCommand() *cobra.Command {
	e := &standin.Engine{}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "A model engine that generates a fixed number of tokens",
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd, e.Handler()) },
	}
	cmd.Flags().StringVar(&e.Name, "name", "engine", "name of the engine")
	cmd.Flags().IntVar(&e.Tokens, "tokens", 16, "tokens of an answer")
	cmd.Flags().DurationVar(&e.Step, "step", 10*time.Millisecond, "time between two tokens")
	return cmd
}

func logCommand() *cobra.Command {
	var retention time.Duration
	var appends float64
	cmd := &cobra.Command{
		Use:   "log",
		Short: "The platform's append-only log service",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, standin.NewLogService(retention, appends).Handler())
		},
	}
	cmd.Flags().DurationVar(&retention, "retention", time.Hour, "time that records are kept; 0 keeps them for ever")
	cmd.Flags().Float64Var(&appends, "appends", 300, "appends taken a second; 0 means no limit")
	return cmd
}

// serve serves until SIGTERM or SIGINT. The first line of output is the address.
func serve(cmd *cobra.Command, h http.Handler) error {
	address, err := cmd.Flags().GetString("listen")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := standin.Listen(address, h)
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), s.Address())
	<-ctx.Done()
	ending, cancel := context.WithTimeout(context.Background(), stopDeadline)
	defer cancel()
	return s.Shutdown(ending)
}

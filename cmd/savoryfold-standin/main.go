// Command savoryfold-standin runs stand-ins, which simulate backend servers and
// the platform's services for tests and experiments.
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
	exitFailed  = 1
	stopTimeout = 5 * time.Second
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
		Short:         "Run stand-ins of backend servers and of the platform's services",
		Version:       version.Version,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.PersistentFlags().String("listen", "127.0.0.1:0", "address to listen on; port 0 selects a free port")
	root.AddCommand(serviceCommand(), engineCommand(), logCommand(), listCommand(), weightsCommand(), balancerCommand(), fleetCommand())
	return root
}

// backendFlags adds the flags that engines and services share.
func backendFlags(cmd *cobra.Command, b *standin.Backend) {
	flags := cmd.Flags()
	flags.StringVar(&b.Name, "name", cmd.Name(), "server name in responses")
	flags.StringVar(&b.Version, "version-name", "v1", "version that is served")
	flags.IntVar(&b.Capacity, "capacity", 0, "maximum number of concurrent calls; 0 means the default")
	flags.DurationVar(&b.ReportLag, "report-lag", 500*time.Millisecond, "maximum age of the load report")
	flags.BoolVar(&b.WarmUp.Cold, "cold", false, "start cold")
	flags.IntVar(&b.WarmUp.ColdLimit, "cold-limit", 0, "concurrent calls that a cold server can run; 0 means no limit")
	flags.DurationVar(&b.WarmUp.Time, "warm-time", 5*time.Second, "time until the server is warm")
	flags.IntVar(&b.WarmUp.Calls, "warm-calls", 20, "number of calls until the server is warm")
	flags.Float64Var(&b.WarmUp.Slow, "cold-slow", 2, "factor by which work takes longer on a cold server")
}

func serviceCommand() *cobra.Command {
	s := &standin.Service{}
	cmd := &cobra.Command{
		Use:   "service",
		Short: "A plain service that counts executions by idempotency key",
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd, s.Handler()) },
	}
	backendFlags(cmd, &s.Backend)
	cmd.Flags().DurationVar(&s.Work, "work", 5*time.Millisecond, "duration of one call")
	return cmd
}

func engineCommand() *cobra.Command {
	e := &standin.Engine{}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "A model engine with continuous batching",
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd, e.Handler()) },
	}
	backendFlags(cmd, &e.Backend)
	flags := cmd.Flags()
	flags.IntVar(&e.Tokens, "tokens", 16, "tokens per response")
	flags.DurationVar(&e.Step, "step", 10*time.Millisecond, "time between two tokens of a call that runs alone")
	flags.DurationVar(&e.PerCall, "per-call", 200*time.Microsecond, "time that each additional running call adds to a step")
	flags.DurationVar(&e.PerPrompt, "per-prompt", 10*time.Microsecond, "prefill time per prompt token that is not cached")
	flags.IntVar(&e.CacheTokens, "cache-tokens", 10_000, "capacity of the prefix cache in tokens")
	flags.DurationVar(&e.EventLag, "event-lag", time.Second, "delay of cache events")
	flags.Float64Var(&e.EventLoss, "event-loss", 0, "probability that a cache event is lost, from 0 to 1")
	flags.BoolVar(&e.Fenced, "fenced", false, "reject a command with an older fencing token")
	flags.StringVar(&e.Weights, "weights", "", "URL of the weight store; empty means that loading takes --load-time")
	flags.DurationVar(&e.LoadTime, "load-time", 2*time.Second, "time to load a version")
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
	cmd.Flags().DurationVar(&retention, "retention", time.Hour, "time for which records are kept; 0 keeps them forever")
	cmd.Flags().Float64Var(&appends, "appends", 300, "maximum number of appends per second; 0 means no limit")
	return cmd
}

func listCommand() *cobra.Command {
	l := &standin.InstanceList{}
	cmd := &cobra.Command{
		Use:   "list",
		Short: "The platform's list of instances, which shows changes after a delay",
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd, l.Handler()) },
	}
	cmd.Flags().DurationVar(&l.Lag, "lag", 2*time.Second, "time after which a change becomes visible")
	return cmd
}

func weightsCommand() *cobra.Command {
	var size int
	var speed float64
	cmd := &cobra.Command{
		Use:   "weights",
		Short: "The platform's weight store",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, standin.NewWeightStore(size, speed).Handler())
		},
	}
	cmd.Flags().IntVar(&size, "size", 4<<20, "size of a version's weights in bytes")
	cmd.Flags().Float64Var(&speed, "rate", 4<<20, "bytes per second, shared by all readers")
	return cmd
}

func balancerCommand() *cobra.Command {
	var targets []string
	cmd := &cobra.Command{
		Use:   "balancer",
		Short: "The platform's load balancer for ready instances",
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := cmd.Flags().GetString("listen")
			if err != nil {
				return err
			}
			b, err := standin.NewBalancer(address, targets)
			if err != nil {
				return err
			}
			return untilSignal(cmd, b.Address(), b.Close)
		},
	}
	cmd.Flags().StringSliceVar(&targets, "target", nil, "entry address of an instance; repeat for each instance")
	return cmd
}

// serve serves h until SIGTERM or SIGINT. The first line of output is the address.
func serve(cmd *cobra.Command, h http.Handler) error {
	address, err := cmd.Flags().GetString("listen")
	if err != nil {
		return err
	}
	s, err := standin.Listen(address, h)
	if err != nil {
		return err
	}
	return untilSignal(cmd, s.Address(), func() error { return shutdown(s) })
}

// untilSignal prints a line, waits for SIGTERM or SIGINT and calls stop.
func untilSignal(cmd *cobra.Command, line string, stop func() error) error {
	ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	fmt.Fprintln(cmd.OutOrStdout(), line)
	<-ctx.Done()
	return stop()
}

func shutdown(s *standin.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return s.Shutdown(ctx)
}

// Command experiment runs real savoryfold processes under load and faults and
// measures them.
//
//	go run ./test/experiment NAME [--seed N] [--policy standard|baseline|both] [--report DIR]
//
// It prints one JSON object per line for each figure. The exit code is 0 if every
// target held under the standard policy, 1 if one was missed, and 2 if the
// experiment could not be run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/test/harness"
)

const (
	exitMissed = 1
	exitFailed = 2
	// runTimeout is the timeout of one run under one policy.
	runTimeout = 45 * time.Second
)

// experiment is one experiment with its name and help text.
type experiment struct {
	name string
	doc  string
	run  func(ctx context.Context, e *env) error
}

var experiments = []experiment{
	{"overhead", "the latency that an instance adds to direct stage calls", overhead},
	{"peaks", "many small requests, then few large ones; five accounts, one greedy", peaks},
	{"overload", "load of 0.7, 1 and 2 times the capacity, then 0.7 times again", overload},
	{"cold", "servers start cold, and warm ones become cold, under load", cold},
	{"zone", "a zone is taken out and put back in, then partitioned and healed", zone},
	{"version-good", "rollout of a good version with a deadline; the log goes down in the middle", versionGood},
	{"version-bad", "rollouts of versions that are bad at once, later, under load, on one route", versionBad},
	{"once", "non-idempotent requests under kills, pauses and log faults", once},
	{"crasher", "one request that crashes every engine that runs it", crasher},
	{"config", "racing operators under lost responses, a log outage and restarts", configExperiment},
	{"silent", "open connections stop delivering data while new ones work", blackhole},
	{"stop", "instances are replaced one by one under load", stopExperiment},
}

// errMissed means that a target was missed under the standard policy.
var errMissed = errors.New("a target did not hold under the standard policy")

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, errMissed) {
		os.Exit(exitMissed)
	}
	os.Exit(exitFailed)
}

func command() *cobra.Command {
	var seed uint64
	var policy, report string
	var names []string
	var doc strings.Builder
	for _, x := range experiments {
		names = append(names, x.name)
		fmt.Fprintf(&doc, "  %-14s %s\n", x.name, x.doc)
	}
	cmd := &cobra.Command{
		Use: "experiment NAME", Short: "Measure savoryfold under load and faults",
		Long: doc.String(), ValidArgs: names, Args: cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		SilenceErrors: true, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error { return runAll(args[0], seed, policy, report) },
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the schedule")
	cmd.Flags().StringVar(&policy, "policy", policyStandard, "standard, baseline or both")
	cmd.Flags().StringVar(&report, "report", "", "directory for an HTML page with plots")
	return cmd
}

// runAll runs an experiment under the chosen policies.
func runAll(name string, seed uint64, policy, report string) error {
	policies := []string{policy}
	if policy == "both" {
		policies = []string{policyStandard, policyBaseline}
	} else if policy != policyStandard && policy != policyBaseline {
		return errors.Errorf("--policy %q: want standard, baseline or both", policy)
	}
	dir, err := os.MkdirTemp("", "savoryfold-experiment")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	binaries, err := harness.Build(dir)
	if err != nil {
		return err
	}
	var runs []*env
	for _, p := range policies {
		e := &env{experiment: name, seed: seed, policy: p, binaries: binaries}
		if err := e.runOne(); err != nil {
			return err
		}
		runs = append(runs, e)
	}
	if report != "" {
		if err := writePage(report, runs); err != nil {
			return err
		}
	}
	for _, e := range runs {
		if e.policy == policyStandard && e.missed {
			return errMissed
		}
	}
	return nil
}

func (e *env) runOne() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	defer e.close()
	for _, x := range experiments {
		if x.name == e.experiment {
			return errors.Wrap(x.run(ctx, e), x.name)
		}
	}
	return errors.Errorf("no experiment %s", e.experiment)
}

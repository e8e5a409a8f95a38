// Command soak runs real instances as processes against stand-ins of the users'
// platform and injects random faults that a seed determines. It checks the
// guarantees of the system against what callers and servers observe.
//
//	go run ./test/soak --seed 7 --minutes 2
//
// Exit codes: 0 no guarantee was violated, 1 one was or the run failed.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
)

func main() {
	var seed uint64
	var minutes float64
	var instances int
	cmd := &cobra.Command{
		Use: "soak", Short: "Randomized faults against real processes", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if seed == 0 {
				seed = uint64(time.Now().UnixNano())
			}
			report, err := Run(Options{Seed: seed, Length: time.Duration(minutes * float64(time.Minute)), Instances: instances, Out: os.Stdout})
			if err != nil {
				return err
			}
			fmt.Println(report)
			if len(report.Violations) > 0 {
				return fmt.Errorf("seed %d: %d violations", seed, len(report.Violations))
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 0, "seed of the faults; 0 uses the current time")
	cmd.Flags().Float64Var(&minutes, "minutes", 1, "length of the run")
	cmd.Flags().IntVar(&instances, "instances", 4, "number of savoryfold instances")
	if cmd.Execute() != nil {
		os.Exit(1)
	}
}

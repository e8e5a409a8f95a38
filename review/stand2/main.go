//go:build review

// Command stand2 plays one case of the second review against real instances: it is the
// platform, the backend servers and the callers of a small deployment. See review/REPORT-2.md.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and reports whether the rule held. trouble is false for a run
// without the disruption.
type scenario func(d *deployment, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{
	"crashing":      playCrashing,
	"one-route":     playOneRoute,
	"small-portion": playSmallPortion,
	"second-order":  playSecondOrder,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		var names []string
		for name := range scenarios {
			names = append(names, name)
		}
		slices.Sort(names)
		fmt.Fprintln(os.Stderr, "usage: stand2 "+strings.Join(names, "|")+" RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(play scenario, path string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := newDeployment(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not start:", err)
		return exitNotRun
	}
	go func() {
		<-d.interrupted
		d.kill()
		os.Exit(exitNotRun)
	}()
	held, err := play(d, trouble)
	if stopErr := d.stop(); err == nil {
		err = stopErr
	}
	defer func() {
		if err := d.closeRecord(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	switch {
	case err != nil:
		d.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case !held:
		d.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	d.note("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

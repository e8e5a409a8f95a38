//go:build review

// Command stand plays one case of the review: it starts instances with the command of the
// deploy file, plays the clients, the engines and the platform, and checks one rule by what
// these see.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit ends a case that takes longer than the review allows.
const limit = 115 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns what breaks the rule, if anything does.
var cases = map[string]func(*stand) []string{
	"mixed-results":  mixedResults,
	"crashes-split":  crashesAfterSplit,
	"memory-bodies":  memoryOfBodies,
	"exposure-load":  exposureLoad,
	"exposure-split": exposureSplit,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "want: review-case NAME RECORD TROUBLE; TROUBLE is 0 for none")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3] != "0"))
}

func play(run func(*stand) []string, record string, trouble bool) (code int) {
	s, err := newStand(record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	// A case that cannot run panics with a notRun.
	defer func() {
		if p := recover(); p != nil {
			n, ok := p.(notRun)
			if !ok {
				panic(p)
			}
			s.note("the case could not run: %s", string(n))
			code = exitNotRun
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		s.note("ended by a signal: %v", <-signals)
		s.close()
		os.Exit(exitNotRun)
	}()
	time.AfterFunc(limit, func() {
		s.note("the case took longer than %v", limit)
		s.close()
		os.Exit(exitNotRun)
	})
	broken := run(s)
	for _, b := range broken {
		s.note("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	s.note("the rule held")
	return exitHeld
}

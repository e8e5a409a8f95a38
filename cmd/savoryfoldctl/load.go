package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/internal/load"
)

// loadFlags are the flags of the command load.
type loadFlags struct {
	addresses []string
	rate      float64
	duration  time.Duration
	routes    []string
	accounts  []string
	body      string
	deadline  time.Duration
	keyed     bool
	stream    bool
	seed      uint64
	json      bool
	faults    []string
}

func loadCommand() *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests to any entry address as an open-loop load",
		Long: `load sends requests at the given rate, regardless of the responses to earlier ones,
and measures each latency from the time at which the request was due. Routes and
accounts are mixed by weight. In the body, {n} stands for the number of the request.
Stand-in servers have the given faults during the run. The outcome "cut" counts the
responses that callers could tell were broken off.`,
		Example: "  savoryfoldctl load --address 127.0.0.1:8080 --route answer --account demo=quickstart-key --rate 50 --duration 10s\n" +
			"  savoryfoldctl load --address 127.0.0.1:8080 --route answer:3 --route notice:1 --account a=key-a:4 --account b=key-b:1 --json\n" +
			"  savoryfoldctl load --route answer --account demo=demo-key --stream --fault '127.0.0.1:7002={\"cut\": 0.2, \"cut_at\": \"unframed\"}'",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, &f) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.addresses, "address", []string{"127.0.0.1:8080"}, "entry address; repeat to use several in turn")
	flags.Float64Var(&f.rate, "rate", 10, "requests per second")
	flags.DurationVar(&f.duration, "duration", 10*time.Second, "duration of the run")
	flags.StringArrayVar(&f.routes, "route", nil, "ROUTE or ROUTE:WEIGHT; repeat for a mix")
	flags.StringArrayVar(&f.accounts, "account", nil, "NAME=APIKEY or NAME=APIKEY:WEIGHT; repeat for a mix")
	flags.StringVar(&f.body, "body", `{"n": {n}}`, "JSON body of a request")
	flags.DurationVar(&f.deadline, "deadline", 0, "deadline sent with each request; 0 uses the default of the route")
	flags.BoolVar(&f.keyed, "keys", false, "send a UUIDv7 as idempotency key with each request")
	flags.BoolVar(&f.stream, "stream", false, "request event streams")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the schedule")
	flags.StringArrayVar(&f.faults, "fault", nil, "ADDRESS=JSON: faults of a stand-in server; repeat for several")
	flags.BoolVar(&f.json, "json", false, "print the report as JSON")
	return cmd
}

func runLoad(cmd *cobra.Command, f *loadFlags) (err error) {
	mix, err := f.mix()
	if err != nil {
		return exitError{err, exitUsage}
	}
	var faults []load.ServerFaults
	for _, text := range f.faults {
		server, err := load.ParseServerFaults(text)
		if err != nil {
			return exitError{errors.Wrap(err, "--fault"), exitUsage}
		}
		faults = append(faults, server)
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	endFaults, err := load.Inject(ctx, faults)
	if err != nil {
		return err
	}
	defer func() { err = cmp.Or(err, endFaults()) }()
	report, err := load.Run(ctx, load.Config{
		Targets: f.addresses, Seed: f.seed,
		Phases:   []load.Phase{{Name: "load", Rate: f.rate, Duration: f.duration, Mix: mix}},
		Progress: func(p load.Progress) { printProgress(cmd.ErrOrStderr(), p) },
	})
	if err != nil {
		return exitError{err, exitUsage}
	}
	if f.json {
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		return enc.Encode(report)
	}
	printReport(cmd.OutOrStdout(), report)
	return nil
}

// mix returns one kind of request for every combination of a route and an account.
// Its weight is the product of their weights.
func (f *loadFlags) mix() ([]load.RequestKind, error) {
	if len(f.routes) == 0 || len(f.accounts) == 0 {
		return nil, errors.New("want at least one --route and one --account")
	}
	body := func(n int) string { return strings.ReplaceAll(f.body, "{n}", strconv.Itoa(n)) }
	if !json.Valid([]byte(body(0))) {
		return nil, errors.New("--body is not valid JSON")
	}
	var mix []load.RequestKind
	for _, r := range f.routes {
		route, routeWeight, err := splitWeight(r)
		if err != nil {
			return nil, err
		}
		for _, a := range f.accounts {
			account, weight, err := splitWeight(a)
			if err != nil {
				return nil, err
			}
			name, key, ok := strings.Cut(account, "=")
			if !ok {
				return nil, errors.Errorf("--account %q: want NAME=APIKEY", a)
			}
			mix = append(mix, load.RequestKind{
				Route: route, Account: name, APIKey: key, Weight: routeWeight * weight, Body: body,
				Deadline: f.deadline, Keyed: f.keyed, Stream: f.stream,
			})
		}
	}
	return mix, nil
}

// splitWeight splits "NAME:WEIGHT"; the weight is 1 if there is none.
func splitWeight(text string) (string, float64, error) {
	name, number, ok := strings.Cut(text, ":")
	if !ok {
		return text, 1, nil
	}
	w, err := strconv.ParseFloat(number, 64)
	if err != nil || w <= 0 {
		return "", 0, errors.Errorf("%q: want a weight above 0", text)
	}
	return name, w, nil
}

func printProgress(w io.Writer, p load.Progress) {
	fmt.Fprintf(w, "%5.0fs  sent %d, finished %d, served %d\n", p.Elapsed.Seconds(), p.Sent, p.Finished, p.Served)
}

func printReport(w io.Writer, r *load.Report) {
	printGroup(w, "total", r.Total)
	for _, name := range slices.Sorted(maps.Keys(r.Routes)) {
		printGroup(w, "route "+name, r.Routes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Accounts)) {
		printGroup(w, "account "+name, r.Accounts[name])
	}
}

func printGroup(w io.Writer, name string, g *load.Group) {
	fmt.Fprintf(w, "%-24s sent %6d  in time %6d  p50 %8.1f ms  p99 %8.1f ms  max %8.1f ms  %v\n",
		name, g.Sent, g.Attained, g.Latency.P50, g.Latency.P99, g.Latency.Max, g.Outcomes)
}

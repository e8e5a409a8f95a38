// Package quickstart runs three instances and simulated external systems in one
// process, and sends one request with four stages.
package quickstart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/standin"
)

const (
	apiKey            = "quickstart-key"
	readyTimeout      = 10 * time.Second
	readyPollInterval = 5 * time.Millisecond
	callTimeout       = 5 * time.Second
)

var zones = []string{"hobart", "launceston", "burnie"}

// Run runs the quickstart and writes its progress to out.
func Run(ctx context.Context, out io.Writer) error {
	q := &quickstart{out: out}
	defer q.stop()
	for _, step := range []func(context.Context) error{q.startStandins, q.startInstances, q.loadTables, q.request} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

type quickstart struct {
	out      io.Writer
	tables   strings.Builder
	log      string // address of the log service
	standins []*standin.Server
	nodes    []*node
}

// startStandins starts the log service and, for each pool, one backend server in
// each availability zone. It also writes the configuration tables that name them.
func (q *quickstart) startStandins(context.Context) error {
	var err error
	if q.log, err = q.startStandin(standin.NewLogService(0, 0).Handler()); err != nil {
		return err
	}
	fmt.Fprintf(&q.tables, "[account demo]\nkey_sha256 = %s\n\n", httpapi.HashToken(apiKey))
	q.tables.WriteString("[route answer]\ndeadline = 3s\nstages = encode, retrieve, rerank, generate\n")
	for _, stage := range []string{"encode", "retrieve", "rerank", "generate"} {
		fmt.Fprintf(&q.tables, "%s.pool = %s\n", stage, stage)
	}
	q.tables.WriteString("generate.stream = true\n")
	for _, pool := range []string{"encode", "retrieve", "rerank", "generate"} {
		fmt.Fprintf(&q.tables, "\n[pool %s]\n", pool)
		for i, zone := range zones {
			address, err := q.startStandin(backend(pool, zone))
			if err != nil {
				return err
			}
			fmt.Fprintf(&q.tables, "server.%s%d = zone=%s addr=%s\n", pool, i+1, zone, address)
		}
	}
	return nil
}

// startStandin serves a stand-in on a free port and returns its address.
func (q *quickstart) startStandin(h http.Handler) (string, error) {
	s, err := standin.Listen("127.0.0.1:0", h)
	if err != nil {
		return "", err
	}
	q.standins = append(q.standins, s)
	return s.Address(), nil
}

func backend(pool, zone string) http.Handler {
	if pool == "generate" {
		return (&standin.Engine{Backend: standin.Backend{Name: pool + "-" + zone}, Tokens: 12, Step: 10 * time.Millisecond}).Handler()
	}
	return (&standin.Service{Backend: standin.Backend{Name: pool + "-" + zone}, Work: 5 * time.Millisecond}).Handler()
}

// startInstances starts one instance in each availability zone. The first one is the
// gossip seed of the others.
func (q *quickstart) startInstances(ctx context.Context) error {
	seed := ""
	for _, zone := range zones {
		n, err := startNode(ctx, zone, q.log, seed)
		if err != nil {
			return err
		}
		q.nodes = append(q.nodes, n)
		if err := n.waitFor(ctx, func() bool { return n.in.State() == kernel.StateReady }); err != nil {
			return err
		}
		seed = q.nodes[0].in.Host.Membership.View().Self.GossipAddress
	}
	return nil
}

// loadTables writes each section of the tables to the log through the first
// instance, and waits until the tables are active on all instances.
func (q *quickstart) loadTables(ctx context.Context) error {
	tables, err := config.ParseTables("quickstart", []byte(q.tables.String()))
	if err != nil {
		return err
	}
	names := tables.SectionNames()
	slices.SortStableFunc(names, func(a, b string) int { return loadOrder(a) - loadOrder(b) })
	var newest uint64
	for _, name := range names {
		e := config.Edit{ID: name, Operator: "quickstart", Section: name, Body: tables.Sections[name].Body}
		result, err := q.nodes[0].in.Host.Config.Edit(ctx, e)
		if err != nil {
			return err
		}
		newest = result.Revision
	}
	for _, n := range q.nodes {
		activated := func() bool { return n.in.Ready() && n.in.Host.Snapshot().Tables.Revision >= newest }
		if err := n.waitFor(ctx, activated); err != nil {
			return err
		}
	}
	fmt.Fprintf(q.out, "three instances have activated revision %d of the tables\n", newest)
	return nil
}

// loadOrder sorts routes after the pools and accounts that they refer to.
func loadOrder(section string) int {
	if strings.HasPrefix(section, string(config.RouteSection)) {
		return 1
	}
	return 0
}

// request sends one request and prints the streamed response as it arrives.
func (q *quickstart) request(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body := bytes.NewReader([]byte(`{"question": "Who is on duty on Sunday?"}`))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.nodes[0].entry()+"/v1/routes/answer", body)
	if err != nil {
		return errors.Wrap(err, "quickstart")
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Accept", "text/event-stream")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "quickstart")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Errorf("quickstart: status %d: %s", resp.StatusCode, text)
	}
	return q.printEvents(resp.Body)
}

// streamEnd is the part of the final event that the quickstart prints.
type streamEnd struct {
	Outcome string             `json:"outcome"`
	Costs   []kernel.StageCost `json:"costs"`
}

func (q *quickstart) stop() {
	for _, n := range q.nodes {
		n.in.Shutdown()
	}
	for _, n := range q.nodes {
		<-n.done
	}
	for _, s := range q.standins {
		_ = s.Close()
	}
}

func (q *quickstart) printCosts(data string) error {
	var end streamEnd
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return errors.Wrap(err, "quickstart")
	}
	fmt.Fprintf(q.out, "\n\noutcome: %s\n", end.Outcome)
	for _, c := range end.Costs {
		fmt.Fprintf(q.out, "  %-10s on %-12s %8.1f ms engine time, %3d tokens, %d call\n", c.Stage, c.Server, c.EngineMS, c.Tokens, c.Calls)
	}
	return nil
}

// Package quickstart runs stand-ins and three instances inside one process and
// serves one four-stage request.
package quickstart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/plugins/entryhttp"
	_ "github.com/savoryfold/savoryfold/plugins/standard" // all plug-ins
	"github.com/savoryfold/savoryfold/standin"
)

const (
	apiKey      = "quickstart-key"
	readyWait   = 10 * time.Second
	readyCheck  = 5 * time.Millisecond
	callTimeout = 5 * time.Second
)

var zones = []string{"hobart", "launceston", "burnie"}

// Run runs the quickstart and writes what happens.
func Run(ctx context.Context, out io.Writer) error {
	dir, err := os.MkdirTemp("", "savoryfold-quickstart")
	if err != nil {
		return errors.Wrap(err, "quickstart")
	}
	defer os.RemoveAll(dir)
	q := &quickstart{dir: dir, out: out}
	defer q.stop()
	if err := q.startStandins(); err != nil {
		return err
	}
	if err := q.startInstances(ctx); err != nil {
		return err
	}
	return q.request(ctx)
}

type quickstart struct {
	dir       string
	out       io.Writer
	tables    strings.Builder
	standins  []*standin.Server
	nodes     []*node
	addresses []string
}

// startStandins starts one backend server of each pool in each zone and writes
// the tables.
func (q *quickstart) startStandins() error {
	fmt.Fprintf(&q.tables, "[account demo]\nkey_sha256 = %s\n\n", httpapi.HashToken(apiKey))
	q.tables.WriteString("[route answer]\ndeadline = 3s\nstages = encode, retrieve, rerank, generate\n")
	for _, stage := range []string{"encode", "retrieve", "rerank", "generate"} {
		fmt.Fprintf(&q.tables, "%s.pool = %s\n", stage, stage)
	}
	q.tables.WriteString("generate.stream = true\n")
	for _, pool := range []string{"encode", "retrieve", "rerank", "generate"} {
		fmt.Fprintf(&q.tables, "\n[pool %s]\n", pool)
		for i, zone := range zones {
			s, err := standin.Listen("127.0.0.1:0", backend(pool, zone))
			if err != nil {
				return err
			}
			q.standins = append(q.standins, s)
			fmt.Fprintf(&q.tables, "server.%s%d = zone=%s addr=%s\n", pool, i+1, zone, s.Address())
		}
	}
	return os.WriteFile(filepath.Join(q.dir, "tables.ini"), []byte(q.tables.String()), 0o600)
}

func backend(pool, zone string) http.Handler {
	if pool == "generate" {
		return (&standin.Engine{Backend: standin.Backend{Name: pool + "-" + zone}, Tokens: 12, Step: 10 * time.Millisecond}).Handler()
	}
	return (&standin.Service{Backend: standin.Backend{Name: pool + "-" + zone}, Work: 5 * time.Millisecond}).Handler()
}

func (q *quickstart) startInstances(ctx context.Context) error {
	for _, zone := range zones {
		if err := q.startInstance(ctx, zone); err != nil {
			return err
		}
	}
	for _, n := range q.nodes {
		if err := n.waitReady(ctx); err != nil {
			return err
		}
		q.addresses = append(q.addresses, n.in.Module("entryhttp").(*entryhttp.Entry).Address())
	}
	fmt.Fprintf(q.out, "three instances are ready: %s\n", strings.Join(q.addresses, ", "))
	return nil
}

func (q *quickstart) startInstance(ctx context.Context, zone string) error {
	text := fmt.Sprintf(`[instance]
id = %s-1
zone = %s
[entry]
listen = 127.0.0.1:0
drain = 10ms
[policy]
configsource = file
membership = static
claims = memory
[tables]
file = %s
`, zone, zone, filepath.Join(q.dir, "tables.ini"))
	settings, err := kernel.Schema().Load("quickstart.ini", []byte(text))
	if err != nil {
		return err
	}
	in, err := kernel.NewInstance(settings, slog.New(slog.DiscardHandler), &slog.LevelVar{})
	if err != nil {
		return err
	}
	n := &node{in: in, done: make(chan error, 1)}
	go func() { n.done <- in.Run(ctx) }()
	q.nodes = append(q.nodes, n)
	return nil
}

// node is one instance of the quickstart.
type node struct {
	in   *kernel.Instance
	done chan error
}

// waitReady waits until the instance takes requests.
func (n *node) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	ticker := time.NewTicker(readyCheck)
	defer ticker.Stop()
	for !n.in.Ready() {
		select {
		case err := <-n.done:
			n.done <- err
			return errors.Wrapf(err, "instance %s ended", n.in.Host.ID())
		case <-ctx.Done():
			return errors.Errorf("instance %s is not ready after %s", n.in.Host.ID(), readyWait)
		case <-ticker.C:
		}
	}
	return nil
}

// request sends one streamed request and prints its events as they come.
func (q *quickstart) request(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body := bytes.NewReader([]byte(`{"question": "Who is on duty on Sunday?"}`))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.addresses[0]+"/v1/routes/answer", body)
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

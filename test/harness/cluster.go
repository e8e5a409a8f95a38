package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/standin"
	"github.com/savoryfold/savoryfold/test/relay"
)

// OperatorToken is the token of the operator "test", who may edit.
const OperatorToken = "test-operator-token"

// Backend is one backend server of a cluster.
type Backend struct {
	standin.FleetMember
	Pool string
	Zone string
}

// Spec describes a cluster.
type Spec struct {
	Binaries Binaries
	// Dir holds settings and tables.
	Dir   string
	Zones []string
	// PerZone is the number of instances in each zone; 0 means 1.
	PerZone  int
	Backends []Backend
	// Pools holds the keys of each pool's section but the servers.
	Pools map[string]string
	// Routes holds the bodies of the routes' sections.
	Routes map[string]string
	// Accounts holds the weight of each client account. Its API key is the
	// name with "-key".
	Accounts map[string]float64
	// Settings replaces or adds settings of all instances.
	Settings Settings
	// Baseline selects the baselines of all decisions.
	Baseline bool
	// LogAppends is the log's rate; 0 means 300 a second.
	LogAppends float64
}

// Cluster is a running system: instances, backend servers and platform, with
// a relay in front of each backend server and of the platform.
type Cluster struct {
	Spec      Spec
	Instances []*Instance
	Log       *Process
	List      *Process
	fleets    []*Process
	// Links are the relays in front of the backend servers, by name.
	Links map[string]*relay.TCP
	// Direct are the addresses of the backend servers themselves, by name.
	Direct map[string]string
	// LogLink and ListLink are the relays in front of the platform.
	LogLink  *relay.TCP
	ListLink *relay.TCP
	pids     pidTable
	owners   owners
	closers  []func()
	client   *http.Client
}

// launchTries bounds the starts of a cluster whose ports were taken by others.
const launchTries = 5

// Launch starts a cluster and waits until every instance is ready. On an error
// everything is ended. Instances need to know each other's ports before they
// start, so another process may take a port in between: then all starts anew.
func Launch(ctx context.Context, s Spec) (*Cluster, error) {
	var err error
	for range launchTries {
		var c *Cluster
		if c, err = launch(ctx, s); err == nil {
			return c, nil
		}
		if !strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) {
			return nil, err
		}
	}
	return nil, err
}

func launch(ctx context.Context, s Spec) (*Cluster, error) {
	c := &Cluster{
		Spec: s, Links: make(map[string]*relay.TCP), Direct: make(map[string]string),
		client: &http.Client{Timeout: 5 * time.Second},
	}
	for _, step := range []func() error{c.startPlatform, c.startFleets, c.startInstances} {
		if err := step(); err != nil {
			c.Close()
			return nil, err
		}
	}
	err := c.PutTables(ctx)
	if err == nil {
		err = c.WaitReady(ctx)
	}
	if err != nil {
		logs := c.Logs()
		c.Close()
		return nil, errors.Wrap(err, logs)
	}
	return c, nil
}

// Close ends all processes and relays.
func (c *Cluster) Close() {
	for _, in := range c.Instances {
		in.Kill()
	}
	for _, stop := range slices.Backward(c.closers) {
		stop()
	}
	c.client.CloseIdleConnections()
}

// Logs returns the ends of all instances' logs.
func (c *Cluster) Logs() string {
	var b strings.Builder
	for _, in := range c.Instances {
		fmt.Fprintf(&b, "--- %s\n%s\n", in.ID, in.Log())
	}
	return b.String()
}

// platform starts a stand-in of the platform behind a relay.
func (c *Cluster) platform(args ...string) (*Process, *relay.TCP, error) {
	p, err := Start(args[0], true, c.Spec.Binaries.Standin, args...)
	if err != nil {
		return nil, nil, err
	}
	c.closers = append(c.closers, p.Kill)
	link, err := relay.NewTCP(p.Line, c.owner)
	if err != nil {
		return nil, nil, err
	}
	c.closers = append(c.closers, link.Close)
	return p, link, nil
}

func (c *Cluster) startPlatform() (err error) {
	logArgs := []string{"log"}
	if c.Spec.LogAppends > 0 {
		logArgs = append(logArgs, fmt.Sprintf("--appends=%g", c.Spec.LogAppends))
	}
	if c.Log, c.LogLink, err = c.platform(logArgs...); err != nil {
		return err
	}
	c.List, c.ListLink, err = c.platform("list", "--lag=500ms")
	return err
}

// startFleets starts one process of backend servers for each zone.
func (c *Cluster) startFleets() error {
	for _, zone := range c.Spec.Zones {
		var members []standin.FleetMember
		for _, b := range c.Spec.Backends {
			if b.Zone == zone {
				members = append(members, b.FleetMember)
			}
		}
		if err := c.startFleet(zone, members); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startFleet(zone string, members []standin.FleetMember) error {
	path := filepath.Join(c.Spec.Dir, "fleet-"+zone+".json")
	text, err := json.Marshal(members)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	p, err := Start("fleet-"+zone, true, c.Spec.Binaries.Standin, "fleet", path)
	if err != nil {
		return err
	}
	c.closers = append(c.closers, p.Kill)
	c.fleets = append(c.fleets, p)
	addresses := make(map[string]string)
	if err := json.Unmarshal([]byte(p.Line), &addresses); err != nil {
		return errors.Wrap(err, "fleet")
	}
	for name, address := range addresses {
		link, err := relay.NewTCP(address, c.owner)
		if err != nil {
			return err
		}
		c.closers = append(c.closers, link.Close)
		c.Links[name] = link
		c.Direct[name] = address
	}
	return nil
}

// CutZone cuts an availability zone's instances and backend servers off from
// the other zones and, if platform is true, from the platform; or heals it.
func (c *Cluster) CutZone(zone string, cut, platform bool) {
	f := relay.Fault{Blackhole: cut}
	for _, b := range c.Spec.Backends {
		for _, in := range c.Instances {
			if (in.Zone == zone) != (b.Zone == zone) {
				c.Links[b.Name].SetFor(in.ID, f)
			}
		}
	}
	for _, in := range c.Instances {
		for _, other := range c.Instances {
			if (in.Zone == zone) != (other.Zone == zone) && other.Gossip != nil {
				other.Gossip.SetFor(in.ID, f)
				other.Peer.SetFor(in.ID, f)
			}
		}
		if in.Zone == zone && platform {
			c.LogLink.SetFor(in.ID, f)
			c.ListLink.SetFor(in.ID, f)
		}
	}
}

// PoolBody is the body of a pool's section.
func (c *Cluster) PoolBody(pool string) string {
	var b strings.Builder
	b.WriteString(c.Spec.Pools[pool])
	for _, s := range c.Spec.Backends {
		if s.Pool != pool {
			continue
		}
		fmt.Fprintf(&b, "server.%s = zone=%s addr=%s", s.Name, s.Zone, c.Links[s.Name].Address())
		if s.Version != "" {
			fmt.Fprintf(&b, " version=%s", s.Version)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Sections returns the sections of the tables by name.
func (c *Cluster) Sections() map[string]string {
	out := make(map[string]string)
	for name, weight := range c.Spec.Accounts {
		out["account "+name] = fmt.Sprintf("key_sha256 = %s\nweight = %g\n", httpapi.HashToken(name+"-key"), weight)
	}
	for _, b := range c.Spec.Backends {
		out["pool "+b.Pool] = c.PoolBody(b.Pool)
	}
	for name, body := range c.Spec.Routes {
		out["route "+name] = body
	}
	for _, zone := range c.Spec.Zones {
		out["zone "+zone] = "state = in\n"
	}
	return out
}

// Backend returns the stand-in's own address with http://, past the relay.
func (c *Cluster) Backend(name string) string { return "http://" + c.Direct[name] }

// freeAddress asks the system for a free port.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer conn.Close()
		return conn.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

package harness

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
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
	// Pools holds the body of each pool's section, without its servers.
	Pools map[string]string
	// Routes holds the body of each route's section.
	Routes map[string]string
	// Accounts holds the weight of each client account by name. The account's
	// API key is its name followed by "-key".
	Accounts map[string]float64
	// Settings overrides or extends the settings of all instances.
	Settings Settings
	// Baseline selects the baseline policies and in-memory claims.
	Baseline bool
	// LogAppends limits the appends per second of the log service; 0 means 300.
	LogAppends float64
}

// Cluster is a running system: instances, backend servers and the platform
// services, with a relay in front of each backend server and platform service.
type Cluster struct {
	Spec      Spec
	Instances []*Instance
	Log       *Process
	List      *Process
	fleets    []*Process
	// Links are the relays in front of the backend servers, by name.
	Links map[string]*relay.TCP
	// BackendAddresses are the backend servers' own addresses, behind the
	// relays, by name.
	BackendAddresses map[string]string
	// LogLink and ListLink are the relays in front of the platform's log and
	// instance list.
	LogLink  *relay.TCP
	ListLink *relay.TCP
	pids     pidTable
	owners   owners
	closers  []func()
	client   *http.Client
}

// maxLaunchAttempts limits the restarts of a cluster whose ports are in use.
const maxLaunchAttempts = 5

// Launch starts a cluster and waits until every instance is ready. On an error
// it stops everything that it started. Instances need each other's ports before
// they start, so another process may bind a port in between; Launch then starts
// the entire cluster again.
func Launch(ctx context.Context, s Spec) (*Cluster, error) {
	var err error
	for range maxLaunchAttempts {
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
		Spec: s, Links: make(map[string]*relay.TCP), BackendAddresses: make(map[string]string),
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}, // #nosec: the cluster's own instances
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

// Close stops all processes and relays.
func (c *Cluster) Close() {
	for _, in := range c.Instances {
		in.Kill()
	}
	for _, stop := range slices.Backward(c.closers) {
		stop()
	}
	c.client.CloseIdleConnections()
}

// Logs returns the last part of each instance's log.
func (c *Cluster) Logs() string {
	var b strings.Builder
	for _, in := range c.Instances {
		fmt.Fprintf(&b, "--- %s\n%s\n", in.ID, in.Log())
	}
	return b.String()
}

// startStandin starts a stand-in of a platform service behind a relay.
func (c *Cluster) startStandin(args ...string) (*Process, *relay.TCP, error) {
	p, err := Start(args[0], true, c.Spec.Binaries.Standin, args...)
	if err != nil {
		return nil, nil, err
	}
	c.closers = append(c.closers, p.Kill)
	link, err := relay.NewTCP(p.FirstLine, c.instanceOf)
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
	if c.Log, c.LogLink, err = c.startStandin(logArgs...); err != nil {
		return err
	}
	c.List, c.ListLink, err = c.startStandin("list", "--lag=500ms")
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
	if err := json.Unmarshal([]byte(p.FirstLine), &addresses); err != nil {
		return errors.Wrap(err, "fleet")
	}
	for name, address := range addresses {
		link, err := relay.NewTCP(address, c.instanceOf)
		if err != nil {
			return err
		}
		c.closers = append(c.closers, link.Close)
		c.Links[name] = link
		c.BackendAddresses[name] = address
	}
	return nil
}

// PartitionZone drops all traffic between an availability zone's instances and
// backend servers and the other zones and, if platform is true, between the zone
// and the platform. If partitioned is false it heals the partition.
func (c *Cluster) PartitionZone(zone string, partitioned, platform bool) {
	f := relay.Fault{Blackhole: partitioned}
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

// PoolBody returns the body of a pool's section with its servers.
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

// Sections returns the bodies of all configuration sections by name.
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

// Backend returns the URL of a backend server, bypassing its relay.
func (c *Cluster) Backend(name string) string { return "http://" + c.BackendAddresses[name] }

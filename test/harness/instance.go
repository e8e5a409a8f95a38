package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
	_ "github.com/savoryfold/savoryfold/plugins/standard" // registers the settings of instances
	"github.com/savoryfold/savoryfold/standin"
	"github.com/savoryfold/savoryfold/test/loopback"
	"github.com/savoryfold/savoryfold/test/relay"
)

// Settings holds the values of settings by section and key.
type Settings map[string]map[string]string

// Instance is one savoryfold instance and its process.
type Instance struct {
	*Process
	ID    string
	Zone  string
	Entry string
	Admin string
	// Gossip and Peer are the relays in front of the gossip and peer addresses;
	// nil without gossip membership.
	Gossip *relay.UDP
	Peer   *relay.UDP
	path   string
}

// pidTable holds the process ID of each instance.
type pidTable struct {
	mu   sync.Mutex
	pids map[string]int // by instance; guarded by mu
}

func (t *pidTable) set(id string, pid int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pids == nil {
		t.pids = make(map[string]int)
	}
	t.pids[id] = pid
}

// PID returns the process ID of an instance, 0 before its first start.
func (c *Cluster) PID(in *Instance) int { return c.pids.all()[in.ID] }

func (t *pidTable) all() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.pids)
}

// URL returns the URL of a route for callers.
func (in *Instance) URL(route string) string { return "http://" + in.Entry + "/v1/routes/" + route }

func (c *Cluster) startInstances() error {
	for n := range max(c.Spec.PerZone, 1) {
		for _, zone := range c.Spec.Zones {
			in, err := c.newInstance(fmt.Sprintf("%s-%d", zone, n+1), zone)
			if err != nil {
				return err
			}
			c.Instances = append(c.Instances, in)
			if err := c.Restart(in); err != nil {
				return err
			}
		}
	}
	return nil
}

// newInstance reserves an instance's addresses and writes its settings file.
func (c *Cluster) newInstance(id, zone string) (*Instance, error) {
	in := &Instance{ID: id, Zone: zone, path: filepath.Join(c.Spec.Dir, id+".ini")}
	var err error
	if in.Entry, err = loopback.FreeAddress("tcp"); err != nil {
		return nil, err
	}
	if in.Admin, err = loopback.FreeAddress("tcp"); err != nil {
		return nil, err
	}
	settings := Settings{
		"instance":      {"id": id, "zone": zone},
		"entry":         {"listen": in.Entry, "drain": "300ms"},
		"admin":         {"listen": in.Admin},
		"operator test": {"token_sha256": httpapi.HashToken(OperatorToken), "rights": "edit"},
		"policy":        {},
		"platform":      {"log": c.LogLink.Address()},
	}
	if slices.Contains(acceptedModules("membership"), "gossip") {
		if err := c.addRelays(in, settings); err != nil {
			return nil, err
		}
	}
	if c.Spec.Baseline {
		for _, setting := range []string{"admission", "placement", "limits", "retry", "queue", "ejection", "rollout"} {
			settings["policy"][setting] = "baseline"
		}
		settings["policy"]["claims"] = "memory"
	}
	settings.merge(c.Spec.Settings)
	return in, os.WriteFile(in.path, []byte(settings.text()), 0o600)
}

// acceptedModules returns the modules that a setting of the section policy accepts.
func acceptedModules(setting string) []string {
	for _, k := range kernel.Schema().Keys() {
		if k.Section == "policy" && k.Name == setting {
			return k.Accepted
		}
	}
	return nil
}

// addRelays starts relays in front of the instance's gossip and peer addresses,
// adds the membership settings and registers the instance in the platform's list.
func (c *Cluster) addRelays(in *Instance, settings Settings) error {
	gossip, err := loopback.FreeAddress("udp")
	if err != nil {
		return err
	}
	peer, err := loopback.FreeAddress("udp")
	if err != nil {
		return err
	}
	if in.Gossip, err = relay.NewUDP(gossip, c.instanceOf); err != nil {
		return err
	}
	c.closers = append(c.closers, in.Gossip.Close)
	if in.Peer, err = relay.NewUDP(peer, c.instanceOf); err != nil {
		return err
	}
	c.closers = append(c.closers, in.Peer.Close)
	settings["membership"] = map[string]string{
		"gossip_listen": gossip, "gossip_advertise": in.Gossip.Address(),
		"peer_listen": peer, "peer_advertise": in.Peer.Address(),
		"list": c.ListLink.Address(), "list_interval": "500ms", "secrets": "test-membership-secret-of-the-cluster",
	}
	return c.put(context.Background(), "http://"+c.List.FirstLine+"/v1/instances/"+in.ID, standin.ListedInstance{
		ID: in.ID, Zone: in.Zone, State: "live", GossipAddress: in.Gossip.Address(), PeerAddress: in.Peer.Address(),
	})
}

func (s Settings) merge(other Settings) {
	for section, keys := range other {
		if s[section] == nil {
			s[section] = make(map[string]string)
		}
		maps.Copy(s[section], keys)
	}
}

func (s Settings) text() string {
	var b strings.Builder
	for _, section := range slices.Sorted(maps.Keys(s)) {
		fmt.Fprintf(&b, "[%s]\n", section)
		for _, key := range slices.Sorted(maps.Keys(s[section])) {
			fmt.Fprintf(&b, "%s = %s\n", key, s[section][key])
		}
	}
	return b.String()
}

// Restart starts the process of an instance that is not running.
func (c *Cluster) Restart(in *Instance) error {
	p, err := Start(in.ID, false, c.Spec.Binaries.Instance, "--settings", in.path)
	if err != nil {
		return err
	}
	in.Process = p
	c.pids.set(in.ID, p.PID())
	return nil
}

// Kill kills the instance's process if it was started.
func (in *Instance) Kill() {
	if in.Process != nil {
		in.Process.Kill()
	}
}

// WaitReady waits until every instance is ready and, with gossip membership,
// sees all other instances.
func (c *Cluster) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, in := range c.Instances {
		if err := c.waitReady(ctx, in); err != nil {
			return err
		}
	}
	if c.Instances[0].Gossip == nil {
		return nil
	}
	return c.waitMembers(ctx)
}

// scheme returns the scheme of the addresses for callers.
func (c *Cluster) scheme() string {
	if c.Spec.Settings["entry"]["tls_cert"] != "" {
		return "https://"
	}
	return "http://"
}

func (c *Cluster) waitReady(ctx context.Context, in *Instance) error {
	for {
		status, err := c.get(ctx, c.scheme()+in.Entry+"/readyz", nil)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if !in.Running() || ctx.Err() != nil {
			return errors.Errorf("%s is not ready: %s", in.ID, in.Log())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// get sends a GET request with the operator token and decodes the JSON response.
func (c *Cluster) get(ctx context.Context, url string, into any) (int, error) {
	return c.do(ctx, http.MethodGet, url, "", into)
}

func (c *Cluster) do(ctx context.Context, method, url, body string, into any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && into != nil {
		err = json.Unmarshal(text, into)
	}
	return resp.StatusCode, err
}

// put sends a value as JSON in a PUT request and expects status 200.
func (c *Cluster) put(ctx context.Context, url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	status, err := c.do(ctx, http.MethodPut, url, string(body), nil)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("PUT %s: status %d", url, status)
	}
	return err
}

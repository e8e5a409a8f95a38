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
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/httpapi"
)

// Settings are settings by section and key.
type Settings map[string]map[string]string

// Instance is one entry instance.
type Instance struct {
	*Process
	ID    string
	Zone  string
	Entry string
	Admin string
	path  string
}

// URL returns the address of a route for callers.
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

// newInstance writes an instance's settings.
func (c *Cluster) newInstance(id, zone string) (*Instance, error) {
	in := &Instance{ID: id, Zone: zone, path: filepath.Join(c.Spec.Dir, id+".ini")}
	var err error
	if in.Entry, err = freeAddress("tcp"); err != nil {
		return nil, err
	}
	if in.Admin, err = freeAddress("tcp"); err != nil {
		return nil, err
	}
	settings := Settings{
		"instance":      {"id": id, "zone": zone},
		"entry":         {"listen": in.Entry, "drain": "300ms"},
		"admin":         {"listen": in.Admin},
		"operator test": {"token_sha256": httpapi.HashToken(OperatorToken), "rights": "edit"},
		"policy":        {"membership": "static", "claims": "memory"},
		"platform":      {"log": c.LogLink.Address()},
	}
	if c.Spec.Baseline {
		for _, slot := range []string{"admission", "placement", "limits", "retry", "queue", "rollout"} {
			settings["policy"][slot] = "baseline"
		}
	}
	settings.merge(c.Spec.Settings)
	return in, os.WriteFile(in.path, []byte(settings.text()), 0o600)
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

// Restart starts an instance's process, which does not run.
func (c *Cluster) Restart(in *Instance) error {
	p, err := Start(in.ID, false, c.Spec.Binaries.Instance, "--settings", in.path)
	if err != nil {
		return err
	}
	in.Process = p
	return nil
}

// Kill ends the instance's process if it was started.
func (in *Instance) Kill() {
	if in.Process != nil {
		in.Process.Kill()
	}
}

// WaitReady waits until every instance is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, in := range c.Instances {
		if err := c.waitReady(ctx, in); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) waitReady(ctx context.Context, in *Instance) error {
	for {
		status, err := c.get(ctx, "http://"+in.Entry+"/readyz", nil)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if !in.Running() || ctx.Err() != nil {
			return errors.Errorf("%s is not ready: %s", in.ID, in.Log())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// get reads JSON; an operator's token goes with it.
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

// put replaces what stands at an address.
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

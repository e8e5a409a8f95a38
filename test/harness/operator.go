package harness

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/standin"
)

// retryPause is the time between two looks at something that does not answer.
const retryPause = 20 * time.Millisecond

// TablesAnswer is the answer of the administration API with all tables.
type TablesAnswer struct {
	Revision uint64           `json:"revision"`
	Sections []config.Section `json:"sections"`
}

// sectionOrder is the order in which sections are put: what others refer to
// comes first.
var sectionOrder = []string{"zone ", "account ", "pool ", "route "}

// PutTables puts all sections of the cluster's tables by the administration
// API of the first instance.
func (c *Cluster) PutTables(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	in := c.Instances[0]
	for {
		status, err := c.get(ctx, "http://"+in.Admin+"/healthz", nil)
		if err == nil && status == http.StatusOK {
			break
		}
		if !in.Running() || ctx.Err() != nil {
			return errors.Errorf("%s has no administration API: %s", in.ID, in.Log())
		}
		time.Sleep(retryPause)
	}
	sections := c.Sections()
	for _, prefix := range sectionOrder {
		for name, body := range sections {
			if !strings.HasPrefix(name, prefix) {
				continue
			}
			result, err := c.Edit(ctx, in, name, body, 0)
			if err != nil || result.Status != config.EditAccepted {
				return errors.Errorf("put [%s]: %v %v", name, result, err)
			}
		}
	}
	return nil
}

// Edit submits an edit of a section to an instance.
func (c *Cluster) Edit(ctx context.Context, in *Instance, section, body string, base uint64) (config.EditResult, error) {
	return c.EditWithID(ctx, in, "", section, body, base)
}

// EditWithID submits an edit under an edit ID, so that it can be repeated.
func (c *Cluster) EditWithID(ctx context.Context, in *Instance, id, section, body string, base uint64) (config.EditResult, error) {
	kind, name, _ := strings.Cut(section, " ")
	var result config.EditResult
	address := fmt.Sprintf("http://%s/v1/tables/%s/%s?base=%d&id=%s", in.Admin, kind, name, base, url.QueryEscape(id))
	status, err := c.do(ctx, http.MethodPut, address, body, &result)
	if err == nil && status == http.StatusServiceUnavailable {
		err = errors.Errorf("edit of [%s]: status %d", section, status)
	}
	return result, err
}

// Change edits a section on its newest revision, as one instance knows it.
func (c *Cluster) Change(ctx context.Context, in *Instance, section, body string) (config.EditResult, error) {
	kind, name, _ := strings.Cut(section, " ")
	var old config.Section
	if _, err := c.get(ctx, "http://"+in.Admin+"/v1/tables/"+kind+"/"+name, &old); err != nil {
		return config.EditResult{}, err
	}
	return c.Edit(ctx, in, section, body, old.Revision)
}

// Tables returns the tables in force at an instance.
func (c *Cluster) Tables(ctx context.Context, in *Instance) (TablesAnswer, error) {
	var t TablesAnswer
	status, err := c.get(ctx, "http://"+in.Admin+"/v1/tables", &t)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("tables of %s: status %d", in.ID, status)
	}
	return t, err
}

// waitViews waits until every instance sees every other one.
func (c *Cluster) waitViews(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, in := range c.Instances {
		for {
			var view kernel.MemberView
			_, err := c.get(ctx, "http://"+in.Admin+"/v1/members", &view)
			if err == nil && len(view.Live()) == len(c.Instances) {
				break
			}
			if ctx.Err() != nil {
				return errors.Errorf("%s sees %d of %d instances", in.ID, len(view.Live()), len(c.Instances))
			}
			time.Sleep(retryPause)
		}
	}
	return nil
}

// Dump returns the state of an instance.
func (c *Cluster) Dump(ctx context.Context, in *Instance) (kernel.Dump, error) {
	var d kernel.Dump
	_, err := c.get(ctx, "http://"+in.Admin+"/v1/dump", &d)
	return d, err
}

// SetFaults sets the faults of a backend server.
func (c *Cluster) SetFaults(ctx context.Context, name string, f standin.Faults) error {
	return c.put(ctx, c.Backend(name)+"/faults", f)
}

// SetLogFaults sets the faults of the log service.
func (c *Cluster) SetLogFaults(ctx context.Context, f standin.LogFaults) error {
	return c.put(ctx, "http://"+c.Log.Line+"/faults", f)
}

// Stats returns the counters of a backend server.
func (c *Cluster) Stats(ctx context.Context, name string) (standin.Stats, error) {
	var s standin.Stats
	err := c.persist(ctx, c.Backend(name)+"/stats", &s)
	return s, err
}

// Calls returns the log of calls of a backend server.
func (c *Cluster) Calls(ctx context.Context, name string) ([]standin.CallRecord, error) {
	var calls []standin.CallRecord
	err := c.persist(ctx, c.Backend(name)+"/calls", &calls)
	return calls, err
}

// persist reads JSON from a stand-in that may be down for a while.
func (c *Cluster) persist(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		_, err := c.get(ctx, url, into)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(retryPause)
	}
}

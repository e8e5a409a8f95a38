package membership

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/upstream"
)

// listEntry is an entry of the platform's list of instances.
type listEntry struct {
	ID            string `json:"id"`
	GossipAddress string `json:"gossip_address"`
}

// pollList reads the platform's list of instances periodically until the context
// ends. The entries serve as additional seeds only: the list neither adds nor
// removes members.
func (g *Gossip) pollList(ctx context.Context) {
	ticker := time.NewTicker(g.host.Settings.Duration(section, "list_interval"))
	defer ticker.Stop()
	for {
		if entries, err := g.fetchList(ctx); err != nil {
			g.host.Counter(`membership_list{result="failed"}`).Inc(1)
		} else {
			g.host.Counter(`membership_list{result="ok"}`).Inc(1)
			g.setSeedsFromList(entries)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gossip) setSeedsFromList(entries []listEntry) {
	seeds := slices.Clone(g.seeds)
	for _, e := range entries {
		if e.ID != g.host.ID() && e.GossipAddress != "" {
			seeds = append(seeds, e.GossipAddress)
		}
	}
	slices.Sort(seeds)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetSeeds(slices.Compact(seeds))
}

func (g *Gossip) fetchList(ctx context.Context) ([]listEntry, error) {
	url := "http://" + g.host.Settings.String(section, "list") + "/v1/instances"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("list of instances: status %d", resp.StatusCode)
	}
	body, err := upstream.ReadBody(resp, resp.Body, maxListBytes)
	if err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	var entries []listEntry
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	return entries, nil
}

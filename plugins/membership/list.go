package membership

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// listed is one entry of the platform's list of instances.
type listed struct {
	ID            string `json:"id"`
	GossipAddress string `json:"gossip_address"`
}

// readList reads the platform's list again and again. Its entries are only
// tried: nobody is a member or gone because of the list.
func (g *Gossip) readList(ctx context.Context) {
	ticker := time.NewTicker(g.host.Settings.Duration(section, "list_interval"))
	defer ticker.Stop()
	for {
		if entries, err := g.fetchList(ctx); err != nil {
			g.host.Counter(`membership_list{result="failed"}`).Inc(1)
		} else {
			g.host.Counter(`membership_list{result="ok"}`).Inc(1)
			g.useList(entries)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gossip) useList(entries []listed) {
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

func (g *Gossip) fetchList(ctx context.Context) ([]listed, error) {
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
	var entries []listed
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&entries); err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	return entries, nil
}

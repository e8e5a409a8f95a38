package stages

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/platform"
)

const (
	// releaseTimeout bounds a call that releases results.
	releaseTimeout = 500 * time.Millisecond
	// maxPendingReleases bounds the pending releases of one server. Results
	// beyond it are not released and expire at the server.
	maxPendingReleases = 2000
)

// releaseQueue holds results that are no longer needed, by the address of their
// server.
type releaseQueue struct {
	mu      sync.Mutex
	handles map[string][]string // guarded by mu
}

// Release implements kernel.StageRunner. Releases go through the dispatcher of
// the server's group, as it tracks the server's free memory.
func (s *Stages) Release(handles []string) {
	s.pendingReleases.mu.Lock()
	defer s.pendingReleases.mu.Unlock()
	for _, h := range handles {
		address := platform.HandleAddress(h)
		if address != "" && len(s.pendingReleases.handles[address]) < maxPendingReleases {
			s.pendingReleases.handles[address] = append(s.pendingReleases.handles[address], h)
		}
	}
}

// sendReleases sends all pending releases to the dispatchers of the servers'
// groups.
func (s *Stages) sendReleases(ctx context.Context, now time.Time) {
	s.pendingReleases.mu.Lock()
	if len(s.pendingReleases.handles) == 0 {
		s.pendingReleases.mu.Unlock()
		return
	}
	all := s.pendingReleases.handles
	s.pendingReleases.handles = make(map[string][]string)
	s.pendingReleases.mu.Unlock()
	type target struct {
		key     groupKey
		id      string
		address string
	}
	remote := make(map[target][]string)
	view := s.host.Catalogs.Catalog()
	for address, handles := range all {
		server := view.ServerAt(address)
		if server == nil {
			continue // its results are lost, and another server may have the address
		}
		key, owner := s.dispatcherOf(now, server)
		if owner.ID == "" || owner.ID == s.host.ID() {
			s.group(key).release(handles)
			continue
		}
		t := target{key, owner.ID, owner.Address}
		remote[t] = append(remote[t], handles...)
	}
	for t, handles := range remote {
		s.done.Go(func() { s.releaseRemote(ctx, t.key, t.address, handles) })
	}
}

// releaseRemote sends releases to a dispatcher. If that fails, this instance
// sends them to the servers itself.
func (s *Stages) releaseRemote(ctx context.Context, key groupKey, address string, handles []string) {
	body, err := cbor.Marshal(dispatchRequest{Service: key.service, Zone: key.zone, Released: handles})
	if err != nil {
		panic("stages: encode release: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if _, err := s.host.PeerCalls.CallPeer(ctx, address, dispatchPath, body); err != nil {
		s.host.Counter("stage_releases_local").Inc(1)
		s.host.Logger.Debug("could not send releases to the dispatcher, releasing results directly", "error", err)
		s.group(key).release(handles)
	}
}

// release queues releases of results that the group's servers hold.
func (g *group) release(handles []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	byAddress := make(map[string]*stageServer, len(g.servers))
	for _, s := range g.servers {
		byAddress[s.server.Address] = s
	}
	for _, h := range handles {
		if s := byAddress[platform.HandleAddress(h)]; s != nil && len(s.memory.released) < maxPendingReleases {
			s.memory.released = append(s.memory.released, h)
		}
	}
}

// sendReleases sends the queued releases to the servers. The caller holds mu.
func (g *group) sendReleases() {
	for _, s := range g.servers {
		handles := s.memory.released
		if len(handles) == 0 {
			continue
		}
		s.memory.released = nil
		server := s.server
		g.stages.done.Go(func() {
			if err := g.stages.callRelease(server, handles); err != nil {
				g.stages.host.Counter("stage_releases_failed").Inc(1)
				g.stages.host.Logger.Debug("could not release results, they will expire at the server", "server", s.server.ID, "results", len(handles), "error", err)
				return
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			s.memory.remove(handles)
			g.schedule(time.Now())
		})
	}
}

// callRelease releases results at one server.
func (s *Stages) callRelease(server *catalog.Server, handles []string) error {
	body, err := platform.EncodeFree(handles)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	x, err := s.pool.Do(ctx, &upstream.Request{
		Address: server.Address, Method: http.MethodPost, URI: platform.StageFreePath, Host: server.Address,
		Header: platform.StageHeader(""), Body: upstream.Bytes(body), MaxIdleTime: upstream.FleetIdleTimeout,
	})
	if err != nil {
		return err
	}
	defer x.Close()
	if platform.DecodeResponse(x.Response, "").Leaving {
		s.host.Catalogs.ServerLeaves(server)
	}
	if _, err := x.ReadAll(maxCallResponseBytes); err != nil {
		return errors.Wrap(err, "release")
	}
	if x.Response.StatusCode != http.StatusOK {
		return errors.Errorf("release: unexpected status %d", x.Response.StatusCode)
	}
	return x.Finish(platform.KeepAlive(x.Response.Header))
}

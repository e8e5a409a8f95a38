package stages

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/platform"
)

const (
	// releaseTimeout bounds a call that releases results.
	releaseTimeout = 500 * time.Millisecond
	// maxReleases bounds the results that wait for their release at one
	// server. What is not released expires there.
	maxReleases = 2000
)

// releases collects results that are not needed any more, by the address of
// their server.
type releases struct {
	mu      sync.Mutex
	handles map[string][]string // guarded by mu
}

// Release implements kernel.StageRunner. The dispatcher of the server's group
// is told, which knows how much room the server has.
func (s *Stages) Release(handles []string) {
	s.toRelease.mu.Lock()
	defer s.toRelease.mu.Unlock()
	for _, h := range handles {
		address := platform.HandleServer(h)
		if address != "" && len(s.toRelease.handles[address]) < maxReleases {
			s.toRelease.handles[address] = append(s.toRelease.handles[address], h)
		}
	}
}

// sendReleases tells the dispatchers of all results that wait for release.
func (s *Stages) sendReleases(ctx context.Context, now time.Time) {
	s.toRelease.mu.Lock()
	if len(s.toRelease.handles) == 0 {
		s.toRelease.mu.Unlock()
		return
	}
	all := s.toRelease.handles
	s.toRelease.handles = make(map[string][]string)
	s.toRelease.mu.Unlock()
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
			continue // its results went with it, and the address may be another's
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
		s.done.Go(func() { s.askRelease(ctx, t.key, t.address, handles) })
	}
}

// askRelease tells a dispatcher of results. If it cannot be told, the servers
// are told from here.
func (s *Stages) askRelease(ctx context.Context, key groupKey, address string, handles []string) {
	body, err := cbor.Marshal(dispatchRequest{Group: key.service, Zone: key.zone, Released: handles})
	if err != nil {
		panic("stages: release: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if _, err := s.host.PeerCalls.CallPeer(ctx, address, dispatchPath, body); err != nil {
		s.host.Counter("stage_releases_local").Inc(1)
		s.host.Logger.Debug("dispatcher not told of released results", "error", err)
		s.group(key).release(handles)
	}
}

// release notes results of the group's servers that are not needed any more.
func (g *group) release(handles []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	byAddress := make(map[string]*stageServer, len(g.servers))
	for _, s := range g.servers {
		byAddress[s.server.Address] = s
	}
	for _, h := range handles {
		if s := byAddress[platform.HandleServer(h)]; s != nil && len(s.memory.released) < maxReleases {
			s.memory.released = append(s.memory.released, h)
		}
	}
}

// sendReleases tells the servers of their results that were released. The
// caller holds mu.
func (g *group) sendReleases() {
	for _, s := range g.servers {
		handles := s.memory.released
		if len(handles) == 0 {
			continue
		}
		s.memory.released = nil
		g.stages.done.Go(func() {
			if err := g.stages.callRelease(s.server.Address, handles); err != nil {
				g.stages.host.Counter("stage_releases_failed").Inc(1)
				g.stages.host.Logger.Debug("results were not released, they expire at the server", "server", s.server.ID, "results", len(handles), "error", err)
				return
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			s.memory.forget(handles)
			g.schedule(time.Now())
		})
	}
}

// callRelease tells one server of results.
func (s *Stages) callRelease(address string, handles []string) error {
	body, err := platform.EncodeFree(handles)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	x, err := s.pool.Do(ctx, &upstream.Request{
		Address: address, Method: http.MethodPost, URI: platform.StageFreePath, Host: address,
		Header: platform.StageHeader(""), Body: body, MaxIdle: upstream.FleetIdle,
	})
	if err != nil {
		return err
	}
	defer x.Close()
	if _, err := x.ReadAll(maxCallAnswer); err != nil {
		return errors.Wrap(err, "release")
	}
	if x.Response.StatusCode != http.StatusOK {
		return errors.Errorf("release: status %d", x.Response.StatusCode)
	}
	return x.Finish(platform.KeepAlive(x.Response.Header))
}

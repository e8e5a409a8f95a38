package stages

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/savoryfold/savoryfold/internal/upstream"
	"github.com/savoryfold/savoryfold/platform"
)

const (
	// releaseTimeout bounds a call that releases results.
	releaseTimeout = 500 * time.Millisecond
	// releaseInterval is the time between two such calls to one server.
	releaseInterval = 50 * time.Millisecond
	// maxReleases bounds the results that wait for their release at one
	// server. What is not released expires there.
	maxReleases = 2000
)

// releases collects results that are not needed any more, by the address of
// their server.
type releases struct {
	mu      sync.Mutex
	handles map[string][]string // guarded by mu
	sent    time.Time           // guarded by mu
}

// Release implements kernel.StageRunner.
func (s *Stages) Release(handles []string) {
	s.frees.mu.Lock()
	defer s.frees.mu.Unlock()
	for _, h := range handles {
		address := platform.HandleServer(h)
		if address != "" && len(s.frees.handles[address]) < maxReleases {
			s.frees.handles[address] = append(s.frees.handles[address], h)
		}
	}
}

// sendReleases tells the servers of all results that wait for their release.
func (s *Stages) sendReleases(ctx context.Context) {
	now := time.Now()
	s.frees.mu.Lock()
	if len(s.frees.handles) == 0 || now.Sub(s.frees.sent) < releaseInterval {
		s.frees.mu.Unlock()
		return
	}
	all := s.frees.handles
	s.frees.handles = make(map[string][]string)
	s.frees.sent = now
	s.frees.mu.Unlock()
	for address, handles := range all {
		if !s.isServer(address) {
			continue // its results went with it, and the address may be another's
		}
		s.done.Go(func() { s.sendRelease(ctx, address, handles) })
	}
}

// isServer reports whether a known server has the address.
func (s *Stages) isServer(address string) bool {
	view := s.host.Catalogs.Catalog()
	return view != nil && view.HasAddress(address)
}

// sendRelease makes one call. Its failure costs memory at the server until the
// results expire there.
func (s *Stages) sendRelease(ctx context.Context, address string, handles []string) {
	body, err := platform.EncodeFree(handles)
	if err != nil {
		s.host.Logger.Error("release of results cannot be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	x, err := s.pool.Do(ctx, &upstream.Request{
		Address: address, Method: http.MethodPost, URI: platform.StageFreePath, Host: address,
		Header: platform.StageHeader(""), Body: body, MaxIdle: idleConnections,
	})
	if err != nil {
		s.host.Counter("stage_releases_failed").Inc(1)
		s.host.Logger.Debug("results were not released, they expire at the server", "address", address, "results", len(handles), "error", err)
		return
	}
	defer x.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(x, maxCallAnswer)); err == nil {
		_ = x.Finish(platform.KeepAlive(x.Response.Header)) // the results are released, whatever follows
	}
}

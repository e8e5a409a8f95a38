package forward

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/savoryfold/savoryfold/catalog"
	"github.com/savoryfold/savoryfold/internal/callerserver"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
	"github.com/savoryfold/savoryfold/policy"
)

// Limits before the first configuration, and where it does not set them. They are those of
// net/http or common among servers.
const (
	defaultHeaderBytes   = http.DefaultMaxHeaderBytes
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	// internalTimeout bounds requests for readiness and metrics.
	internalTimeout = 5 * time.Second
	// internalHeaderBytes bounds the headers of these requests.
	internalHeaderBytes = 8 << 10
)

// connLimits returns the limits of connections in a configuration.
func connLimits(l catalog.Limits) callerserver.Limits {
	limits := callerserver.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if l.HeaderBytes > 0 {
		limits.HeaderBytes = l.HeaderBytes
	}
	if l.HeaderTimeout > 0 {
		limits.HeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		limits.IdleTimeout = l.IdleTimeout
	}
	return limits
}

// serveInternal serves a handler for the platform on an address of its own, which callers may
// reach too. It does nothing if the address is empty.
func serveInternal(logger *slog.Logger, address string, h http.Handler) (*callerserver.Server, error) {
	if address == "" {
		return nil, nil
	}
	server := callerserver.New(callerserver.Options{
		Logger: logger, Handler: h, ReadTimeout: internalTimeout, WriteTimeout: internalTimeout, Room: policy.OperatorLimits,
		Limits: callerserver.Limits{HeaderBytes: internalHeaderBytes, HeaderTimeout: internalTimeout, IdleTimeout: defaultIdleTimeout},
	})
	return server, server.Listen(address)
}

// readinessHandler reports to the platform whether the instance takes
// connections: it has a configuration and is not leaving.
func (f *Forward) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if f.leaving.Load() || f.host.Catalogs.Catalog() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// metricsHandler serves the metrics in the Prometheus text format.
func (f *Forward) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if err := kernel.WriteMetrics(w, f.host.Metrics); err != nil {
			f.host.Logger.Debug("could not write metrics", "error", err)
		}
	})
	return mux
}

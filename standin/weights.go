package standin

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const weightsChunkBytes = 32 << 10

// WeightStore simulates the store of model weights. All readers share its rate
// limit.
type WeightStore struct {
	faultInjector[WeightFaults]
	// Size is the size of the weights of a version in bytes.
	Size    int
	limiter *rate.Limiter
	reads   atomic.Int64
}

// WeightFaults are the injected faults of a weight store. Down rejects reads with
// status 503.
type WeightFaults struct {
	Down bool `json:"down"`
}

// NewWeightStore creates a store. The size of a version is in bytes.
func NewWeightStore(size int, bytesPerSecond float64) *WeightStore {
	return &WeightStore{Size: size, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), weightsChunkBytes)}
}

// Handler returns the HTTP handler of the store.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{version}", s.serveWeights)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int64{"reads": s.reads.Load()})
	})
	s.register(mux)
	return mux
}

func (s *WeightStore) serveWeights(w http.ResponseWriter, r *http.Request) {
	if s.Get().Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	s.reads.Add(1)
	w.Header().Set("Content-Length", strconv.Itoa(s.Size))
	chunk := make([]byte, weightsChunkBytes)
	for remaining := s.Size; remaining > 0; {
		n := min(remaining, weightsChunkBytes)
		if s.limiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		remaining -= n
	}
}

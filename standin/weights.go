package standin

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const weightsChunk = 32 << 10

// WeightStore serves the weights of versions at a limited rate, which all
// readers share.
type WeightStore struct {
	switchboard[WeightFaults]
	// Size is the size of a version's weights in bytes.
	Size    int
	limiter *rate.Limiter
	reads   atomic.Int64
}

// WeightFaults are the faults of a weight store.
type WeightFaults struct {
	Down bool `json:"down"`
}

// NewWeightStore makes a store whose readers get a number of bytes a second.
func NewWeightStore(size int, bytesPerSecond float64) *WeightStore {
	return &WeightStore{Size: size, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), weightsChunk)}
}

// Handler returns the store's HTTP interface.
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
	chunk := make([]byte, weightsChunk)
	for left := s.Size; left > 0; {
		n := min(left, weightsChunk)
		if s.limiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}

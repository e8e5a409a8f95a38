package standin

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// faultInjector holds the injected faults of one simulated system. F is a struct
// with JSON tags.
type faultInjector[F any] struct {
	faults atomic.Pointer[F]
	// onChange, if not nil, is called with every new value.
	onChange func(F)
}

// Set replaces all faults.
func (s *faultInjector[F]) Set(f F) {
	s.faults.Store(&f)
	if s.onChange != nil {
		s.onChange(f)
	}
}

// Get returns the active faults, or the zero value if none were set.
func (s *faultInjector[F]) Get() F {
	if f := s.faults.Load(); f != nil {
		return *f
	}
	var none F
	return none
}

// register adds GET and PUT /faults to an HTTP interface. PUT rejects unknown
// fields.
func (s *faultInjector[F]) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Get()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, f)
		s.Set(f)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

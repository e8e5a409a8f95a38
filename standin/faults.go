package standin

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// switchboard holds the faults of one stand-in. PUT /faults replaces them
// whole, GET /faults returns them. F is a struct with JSON tags.
type switchboard[F any] struct {
	faults atomic.Pointer[F]
	// changed is called with every new value; nil means nobody.
	changed func(F)
}

// Set replaces the faults.
func (s *switchboard[F]) Set(f F) {
	s.faults.Store(&f)
	if s.changed != nil {
		s.changed(f)
	}
}

// Get returns the faults in force, at first the zero value.
func (s *switchboard[F]) Get() F {
	if f := s.faults.Load(); f != nil {
		return *f
	}
	var none F
	return none
}

// register adds the switchboard to a stand-in's HTTP interface.
func (s *switchboard[F]) register(mux *http.ServeMux) {
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

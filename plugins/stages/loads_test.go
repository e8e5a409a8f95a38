package stages

import (
	"bytes"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/savoryfold/savoryfold/kernel"
)

// knownLoads is a kernel.LoadFigures that records what it observes.
type knownLoads struct{ known, observed []kernel.LoadFigure }

func (l *knownLoads) RecentLoads(time.Time, int) []kernel.LoadFigure { return l.known }
func (l *knownLoads) ObserveLoads(_ time.Time, figures []kernel.LoadFigure) {
	l.observed = append(l.observed, figures...)
}

// TestLoadsInStageMessages guards against loads that are lost between instances, and against
// more of them than a message may carry.
func TestLoadsInStageMessages(t *testing.T) {
	for _, n := range []int{0, 1, maxSharedLoads, maxSharedLoads + 1} {
		sent := make([]kernel.LoadFigure, n)
		for i := range sent {
			sent[i] = kernel.LoadFigure{Server: 1<<63 + uint64(i), Requests: i, Pace: 170, AgeMillis: int64(i)}
		}
		s := newStagesInZoneA(t, 1)
		s.groups = make(map[groupKey]*group)
		loads := &knownLoads{known: []kernel.LoadFigure{{Server: 9, Requests: 4, Pace: 70, AgeMillis: 12}}}
		s.host.LoadFigures = loads
		body, err := cbor.Marshal(dispatchRequest{Service: "s", Loads: sent})
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		s.serveDispatch(w, httptest.NewRequest("POST", dispatchPath, bytes.NewReader(body)))
		var response dispatchResponse
		if err := cbor.Unmarshal(w.Body.Bytes(), &response); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(loads.observed, sent[:min(n, maxSharedLoads)]) {
			t.Errorf("%d sent: observed %v", n, loads.observed)
		}
		if !slices.Equal(response.Loads, loads.known) {
			t.Errorf("%d sent: response %v, want %v", n, response.Loads, loads.known)
		}
	}
}

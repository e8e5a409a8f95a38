package admin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/savoryfold/savoryfold/api"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
)

func (a *Admin) serveMoves(w http.ResponseWriter, _ *http.Request, _ operator) {
	moves := []kernel.MoveStatus{}
	if a.host.Moves != nil {
		moves = append(moves, a.host.Moves.Moves()...)
	}
	httpapi.WriteJSON(w, http.StatusOK, moves)
}

func (a *Admin) serveClaims(w http.ResponseWriter, r *http.Request, _ operator) {
	if a.host.ClaimsOperator == nil {
		writeProblem(w, http.StatusNotImplemented, "the claims module has no claims to settle")
		return
	}
	claims, err := a.host.ClaimsOperator.InDoubt(r.Context())
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, append([]kernel.ClaimInfo{}, claims...))
}

// settleClaim records the operator's decision on a claim in doubt. The operator
// needs the right to edit the claim's route.
func (a *Admin) settleClaim(w http.ResponseWriter, r *http.Request, op operator) {
	var s api.Settlement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes)).Decode(&s)
	if err != nil || (s.Verdict != kernel.VerdictRan && s.Verdict != kernel.VerdictNotRun) {
		writeProblem(w, http.StatusBadRequest, `want {"claim": a claim as listed, "verdict": "ran" or "not-run"}`)
		return
	}
	if !op.mayEdit("route " + s.Claim.Route) {
		a.forbid(w, "operator "+op.name+" may not settle claims of route "+s.Claim.Route)
		return
	}
	if a.host.ClaimsOperator == nil {
		writeProblem(w, http.StatusNotImplemented, "the claims module has no claims to settle")
		return
	}
	if err := a.host.ClaimsOperator.Settle(r.Context(), s.Claim, s.Verdict, op.name); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	a.host.Logger.Info("claim settled", "route", s.Claim.Route, "key", s.Claim.Key, "verdict", string(s.Verdict), "operator", op.name)
	httpapi.WriteJSON(w, http.StatusOK, s)
}

// serveLog returns decoded records of a stream. Byte strings are replaced by their
// length, because records of claims hold answers to callers.
func (a *Admin) serveLog(w http.ResponseWriter, r *http.Request, _ operator) {
	stream := r.URL.Query().Get("stream")
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil || stream == "" || strings.ContainsAny(stream, " \t\n") {
		writeProblem(w, http.StatusBadRequest, "want ?stream=NAME&from=OFFSET")
		return
	}
	if a.host.Log == nil {
		writeProblem(w, http.StatusNotImplemented, "no log service")
		return
	}
	batch, err := a.host.Log.Read(r.Context(), stream, from, 0)
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	response := api.Records{Stream: stream, First: batch.First, Next: batch.Next, Records: []api.Record{}}
	for _, rec := range batch.Records {
		decoded := api.Record{Offset: rec.Offset, Time: rec.Time.UTC().Format(time.RFC3339Nano)}
		decoded.Data, err = decodeRecord(stream, rec.Data)
		if err != nil {
			decoded.Data, decoded.Problem = nil, err.Error()
		}
		response.Records = append(response.Records, decoded)
	}
	httpapi.WriteJSON(w, http.StatusOK, response)
}

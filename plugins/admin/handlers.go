package admin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/savoryfold/savoryfold/api"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
)

// endpoint is one method and path of the API.
type endpoint struct {
	pattern string
	handler http.HandlerFunc
}

func (a *Admin) endpoints() []endpoint {
	return []endpoint{
		{"GET /healthz", a.serveHealth},
		{"GET /readyz", a.serveReady},
		{"GET /metrics", a.serveMetrics},
		{"GET /v1/dump", a.authenticated(a.serveDump)},
		{"GET /v1/members", a.authenticated(a.serveMembers)},
		{"GET /v1/applied/{revision}", a.authenticated(a.serveApplied)},
		{"GET /v1/tables", a.authenticated(a.serveTables)},
		{"GET /v1/tables/{kind}/{name}", a.authenticated(a.serveSection)},
		{"PUT /v1/tables/{kind}/{name}", a.authenticated(a.editSection)},
		{"DELETE /v1/tables/{kind}/{name}", a.authenticated(a.editSection)},
		{"GET /v1/moves", a.authenticated(a.serveMoves)},
		{"GET /v1/claims", a.authenticated(a.serveClaims)},
		{"POST /v1/claims/settle", a.authenticated(a.settleClaim)},
		{"POST /v1/choice", a.authenticated(a.explainChoice)},
		{"GET /v1/log", a.authenticated(a.serveLog)},
		{"GET /v1/log-level", a.authenticated(a.serveLogLevel)},
		{"PUT /v1/log-level", a.authenticated(a.setLogLevel)},
	}
}

func (a *Admin) routes() http.Handler {
	mux := http.NewServeMux()
	for _, e := range a.endpoints() {
		mux.HandleFunc(e.pattern, e.handler)
	}
	return mux
}

// writeProblem sends an error as a problem response.
func writeProblem(w http.ResponseWriter, status int, detail string) {
	httpapi.WriteProblem(w, httpapi.Problem{Status: status, Detail: detail})
}

// forbid responds that the operator lacks a right.
func (a *Admin) forbid(w http.ResponseWriter, detail string) {
	a.host.Counter("admin_forbidden").Inc(1)
	writeProblem(w, http.StatusForbidden, detail)
}

func (a *Admin) serveHealth(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, api.State{State: a.host.Instance.State().String()})
}

func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !a.host.Instance.Ready() {
		status = http.StatusServiceUnavailable
	}
	httpapi.WriteJSON(w, status, api.State{State: a.host.Instance.State().String()})
}

func (a *Admin) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = kernel.WriteMetrics(w, a.host.Metrics)
}

func (a *Admin) serveDump(w http.ResponseWriter, _ *http.Request, _ operator) {
	httpapi.WriteJSON(w, http.StatusOK, a.host.Instance.Dump())
}

// maxQueryBytes bounds the body of a query.
const maxQueryBytes = 64 << 10

// explainChoice explains where a request would be sent now. It needs a body, but changes
// nothing, so that the right to read is enough.
func (a *Admin) explainChoice(w http.ResponseWriter, r *http.Request, _ operator) {
	if a.host.ChoiceExplainer == nil {
		writeProblem(w, http.StatusNotImplemented, "this instance forwards no requests to servers")
		return
	}
	var q kernel.ChoiceQuery
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes)).Decode(&q); err != nil {
		writeProblem(w, http.StatusBadRequest, "want a query as JSON: "+err.Error())
		return
	}
	x, err := a.host.ChoiceExplainer.ExplainChoice(time.Now(), q)
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, x)
}

func (a *Admin) serveMembers(w http.ResponseWriter, _ *http.Request, _ operator) {
	if a.host.Membership == nil {
		writeProblem(w, http.StatusNotImplemented, "no membership module")
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, a.host.Membership.View())
}

func (a *Admin) serveLogLevel(w http.ResponseWriter, _ *http.Request, _ operator) {
	httpapi.WriteJSON(w, http.StatusOK, api.LogLevel{Level: a.host.LogLevel.Level().String()})
}

// setLogLevel expects a body such as {"level": "debug"}. Only an operator who may
// edit all sections can change the level.
func (a *Admin) setLogLevel(w http.ResponseWriter, r *http.Request, op operator) {
	if !op.mayEditAll() {
		a.forbid(w, "operator "+op.name+" may not change the log level")
		return
	}
	var body api.LogLevel
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes)).Decode(&body)
	if err == nil {
		err = a.host.LogLevel.UnmarshalText([]byte(body.Level))
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, `want {"level": "debug"}, info, warn or error`)
		return
	}
	a.host.Logger.Info("log level changed", "level", body.Level, "operator", op.name)
	httpapi.WriteJSON(w, http.StatusOK, api.LogLevel{Level: a.host.LogLevel.Level().String()})
}

package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
)

const maxEditBytes = 256 << 10

func (a *Admin) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", a.serveHealth)
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.HandleFunc("GET /metrics", a.serveMetrics)
	mux.HandleFunc("GET /v1/dump", a.authenticated(a.serveDump))
	mux.HandleFunc("GET /v1/members", a.authenticated(a.serveMembers))
	mux.HandleFunc("GET /v1/tables", a.authenticated(a.serveTables))
	mux.HandleFunc("GET /v1/tables/{kind}/{name}", a.authenticated(a.serveSection))
	mux.HandleFunc("PUT /v1/tables/{kind}/{name}", a.authenticated(a.editSection))
	mux.HandleFunc("DELETE /v1/tables/{kind}/{name}", a.authenticated(a.editSection))
	mux.HandleFunc("PUT /v1/log-level", a.authenticated(a.setLogLevel))
	return mux
}

func (a *Admin) serveHealth(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, map[string]string{"state": a.host.Instance.State().String()})
}

func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !a.host.Instance.Ready() {
		status = http.StatusServiceUnavailable
	}
	httpapi.WriteJSON(w, status, map[string]string{"state": a.host.Instance.State().String()})
}

func (a *Admin) serveDump(w http.ResponseWriter, _ *http.Request, _ operator) {
	httpapi.WriteJSON(w, http.StatusOK, a.host.Instance.Dump())
}

func (a *Admin) serveMembers(w http.ResponseWriter, _ *http.Request, _ operator) {
	httpapi.WriteJSON(w, http.StatusOK, a.host.Membership.View())
}

// tablesAnswer is all sections in force at one instance.
type tablesAnswer struct {
	Revision uint64           `json:"revision"`
	Sections []config.Section `json:"sections"`
}

func (a *Admin) serveTables(w http.ResponseWriter, _ *http.Request, _ operator) {
	snap := a.host.Snapshot()
	if snap == nil {
		a.notReady(w)
		return
	}
	answer := tablesAnswer{Revision: snap.Tables.Revision}
	for _, name := range snap.Tables.SectionNames() {
		answer.Sections = append(answer.Sections, snap.Tables.Sections[name])
	}
	httpapi.WriteJSON(w, http.StatusOK, answer)
}

func (a *Admin) notReady(w http.ResponseWriter) {
	httpapi.WriteProblem(w, httpapi.Problem{Status: http.StatusServiceUnavailable, Detail: "no tables in force yet"})
}

func (a *Admin) serveSection(w http.ResponseWriter, r *http.Request, _ operator) {
	snap := a.host.Snapshot()
	if snap == nil {
		a.notReady(w)
		return
	}
	s, ok := snap.Tables.Sections[sectionName(r)]
	if !ok {
		httpapi.WriteProblem(w, httpapi.Problem{Status: http.StatusNotFound, Detail: "no section [" + sectionName(r) + "]"})
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, s)
}

func sectionName(r *http.Request) string { return r.PathValue("kind") + " " + r.PathValue("name") }

// editSection puts or deletes a section. The query holds the revision that the
// edit is based on (base) and the edit's ID (id), which makes it idempotent.
func (a *Admin) editSection(w http.ResponseWriter, r *http.Request, op operator) {
	name := sectionName(r)
	if !op.mayEdit(name) {
		a.host.Counter("admin_forbidden").Inc(1)
		httpapi.WriteProblem(w, httpapi.Problem{Status: http.StatusForbidden, Detail: "operator " + op.name + " may not edit [" + name + "]"})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEditBytes))
	if err != nil {
		httpapi.WriteProblem(w, httpapi.Problem{Status: http.StatusRequestEntityTooLarge, Detail: "a section has at most " + strconv.Itoa(maxEditBytes) + " bytes"})
		return
	}
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		httpapi.WriteProblem(w, httpapi.Problem{Status: http.StatusBadRequest, Detail: "want ?base=REVISION, the section's revision that the edit is based on, 0 for a new section"})
		return
	}
	e := config.Edit{
		ID: r.URL.Query().Get("id"), Operator: op.name, Section: name,
		Body: string(body), Delete: r.Method == http.MethodDelete, Base: base,
	}
	if e.ID == "" {
		e.ID = uuid.NewString()
	}
	a.submit(w, r, e)
}

func (a *Admin) submit(w http.ResponseWriter, r *http.Request, e config.Edit) {
	result, err := a.host.Config.Edit(r.Context(), e)
	if err != nil {
		httpapi.WriteProblem(w, httpapi.Problem{Status: http.StatusServiceUnavailable, Detail: err.Error() + "; send the edit again with id=" + e.ID})
		return
	}
	status := http.StatusOK
	switch result.Status {
	case config.EditSuperseded:
		status = http.StatusConflict
	case config.EditInvalid:
		status = http.StatusUnprocessableEntity
	}
	httpapi.WriteJSON(w, status, result)
}

// setLogLevel takes {"level": "debug"}.
func (a *Admin) setLogLevel(w http.ResponseWriter, r *http.Request, op operator) {
	var body struct {
		Level string `json:"level"`
	}
	if !op.edit {
		httpapi.WriteProblem(w, httpapi.Problem{Status: http.StatusForbidden, Detail: "operator " + op.name + " may only read"})
		return
	}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes)).Decode(&body)
	if err == nil {
		err = a.host.LogLevel.UnmarshalText([]byte(body.Level))
	}
	if err != nil {
		httpapi.WriteProblem(w, httpapi.Problem{Status: http.StatusBadRequest, Detail: `want {"level": "debug"}, info, warn or error`})
		return
	}
	a.host.Logger.Info("log level changed", "level", body.Level, "operator", op.name)
	httpapi.WriteJSON(w, http.StatusOK, body)
}

func (a *Admin) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = kernel.WriteMetrics(w, a.host.Metrics)
}

package admin

import (
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/api"
	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
)

// maxEditBytes limits the size of a section, so that its edit fits into a record.
const maxEditBytes = 200 << 10

// snapshot returns the active snapshot. If there is none, it sends a problem
// response and returns nil.
func (a *Admin) snapshot(w http.ResponseWriter) *kernel.Snapshot {
	snap := a.host.Snapshot()
	if snap == nil {
		writeProblem(w, http.StatusServiceUnavailable, "no tables in force yet")
	}
	return snap
}

func (a *Admin) serveTables(w http.ResponseWriter, _ *http.Request, _ operator) {
	response := api.Tables{Sections: []config.Section{}}
	// Before the first edit there are no tables; the response is then empty.
	if snap := a.host.Snapshot(); snap != nil {
		response.Revision = snap.Tables.Revision
		for _, name := range snap.Tables.SectionNames() {
			response.Sections = append(response.Sections, snap.Tables.Sections[name])
		}
	}
	httpapi.WriteJSON(w, http.StatusOK, response)
}

func (a *Admin) serveSection(w http.ResponseWriter, r *http.Request, _ operator) {
	snap := a.snapshot(w)
	if snap == nil {
		return
	}
	s, ok := snap.Tables.Sections[sectionName(r)]
	if !ok {
		writeProblem(w, http.StatusNotFound, "no section ["+sectionName(r)+"]")
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, s)
}

func sectionName(r *http.Request) string { return r.PathValue("kind") + " " + r.PathValue("name") }

// editSection creates, replaces or deletes a section. The query parameter base is
// the revision that the edit is based on. The optional parameter id identifies the
// edit and makes it idempotent.
func (a *Admin) editSection(w http.ResponseWriter, r *http.Request, op operator) {
	name := sectionName(r)
	if !op.mayEdit(name) {
		a.forbid(w, "operator "+op.name+" may not edit ["+name+"]")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEditBytes))
	if err != nil {
		writeProblem(w, http.StatusRequestEntityTooLarge, "a section has at most "+strconv.Itoa(maxEditBytes)+" bytes")
		return
	}
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "want ?base=REVISION, the section's revision that the edit is based on, 0 for a new section")
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
	var unsettled *config.UnsettledError
	switch {
	case errors.As(err, &unsettled):
		writeProblem(w, http.StatusServiceUnavailable, err.Error()+"; send the edit again with id="+e.ID)
		return
	case err != nil:
		writeProblem(w, http.StatusNotImplemented, err.Error())
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

// serveApplied returns on how many live instances a revision, or a newer one, is
// active.
func (a *Admin) serveApplied(w http.ResponseWriter, r *http.Request, _ operator) {
	revision, err := strconv.ParseUint(r.PathValue("revision"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "want a revision, a whole number")
		return
	}
	response := api.Applied{Revision: revision, Behind: []string{}}
	count := func(id string, activeRevision uint64) {
		response.Instances++
		if activeRevision >= revision {
			response.Active++
		} else {
			response.Behind = append(response.Behind, id)
		}
	}
	var own uint64
	if snap := a.host.Snapshot(); snap != nil {
		own = snap.Tables.Revision
	}
	count(a.host.ID(), own)
	if a.host.Membership != nil {
		for _, m := range a.host.Membership.View().Members {
			if m.ID != a.host.ID() && m.State != kernel.MemberGone {
				count(m.ID, m.ConfigRevision)
			}
		}
	}
	httpapi.WriteJSON(w, http.StatusOK, response)
}

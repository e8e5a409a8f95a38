package admin

import (
	"net/http"
	"strings"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/httpapi"
)

// operator is a person or program that may use the administration API.
type operator struct {
	name      string
	tokenHash string
	edit      bool
	// sections holds the prefixes of the sections that the operator may edit;
	// empty means all.
	sections []string
}

func readOperators(s *config.Settings) []operator {
	var ops []operator
	for _, name := range s.Names("operator") {
		heading := "operator " + name
		ops = append(ops, operator{
			name:      name,
			tokenHash: strings.ToLower(s.String(heading, "token_sha256")),
			edit:      s.String(heading, "rights") == "edit",
			sections:  s.Words(heading, "sections"),
		})
	}
	return ops
}

// mayEdit reports whether the operator may edit a section.
func (o operator) mayEdit(section string) bool {
	if !o.edit {
		return false
	}
	if len(o.sections) == 0 {
		return true
	}
	for _, prefix := range o.sections {
		if strings.HasPrefix(section, prefix) {
			return true
		}
	}
	return false
}

// mayEditAll reports whether the operator may change settings that belong to no
// section, such as the log level.
func (o operator) mayEditAll() bool { return o.edit && len(o.sections) == 0 }

// findOperator returns the operator with the token. It compares the token with
// that of every operator, so that its duration reveals nothing about the tokens.
func (a *Admin) findOperator(token string) (operator, bool) {
	hash := httpapi.HashToken(token)
	var found operator
	ok := false
	for _, op := range a.operators {
		if httpapi.EqualHash(op.tokenHash, hash) {
			found, ok = op, true
		}
	}
	return found, ok && token != ""
}

type operatorHandler func(w http.ResponseWriter, r *http.Request, op operator)

// authenticated calls h only if the request carries an operator's token.
func (a *Admin) authenticated(h operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		op, ok := a.findOperator(httpapi.Bearer(r.Header))
		if !ok {
			a.host.Counter("admin_unauthorized").Inc(1)
			httpapi.WriteProblem(w, httpapi.Problem{Status: http.StatusUnauthorized, Detail: "want an operator's token in the header Authorization: Bearer TOKEN"})
			return
		}
		h(w, r, op)
	}
}

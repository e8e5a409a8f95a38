// Package admin serves the administration API to operators.
//
// Every path except /metrics, /healthz and /readyz requires an operator's token.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/callerserver"
	"github.com/savoryfold/savoryfold/internal/httpapi"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/policy"
)

const section = "admin"

// maxHeaderBytes bounds the headers of a request.
const maxHeaderBytes = 16 << 10

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "admin",
		Phase: kernel.PhaseEntry,
		Settings: []config.Key{
			{Section: section, Name: "listen", Kind: config.Address, Doc: "address to listen on for operators; empty means that the administration API is not served"},
			{Section: section, Name: "tls_cert", Doc: "certificate file (PEM) for operators; empty means plain HTTP"},
			{Section: section, Name: "tls_key", Doc: "private key file (PEM) of tls_cert"},
			{Section: "operator *", Name: "token_sha256", Required: true, Secret: true, Doc: "SHA-256 of the operator's token, in hexadecimal"},
			{Section: "operator *", Name: "rights", Kind: config.Enum, Accepted: []string{"read", "edit"}, Default: "read", Doc: "read allows queries only, edit also allows changes"},
			{Section: "operator *", Name: "sections", Kind: config.List, Doc: "prefixes of the sections that the operator may edit, such as \"route answer\"; empty means all sections"},
		},
		New: func() kernel.Module { return &Admin{} },
	})
}

// Admin is the HTTP server for operators.
type Admin struct {
	host      *kernel.Host
	operators []operator
	server    *callerserver.Server
	listening bool
}

// Provision implements kernel.Provisioner.
func (a *Admin) Provision(h *kernel.Host) error {
	a.host = h
	a.operators = readOperators(h.Settings)
	tlsConfig, err := httpapi.ServerTLS(h.Settings.String(section, "tls_cert"), h.Settings.String(section, "tls_key"))
	if err != nil {
		return errors.Wrap(err, "[admin]")
	}
	a.server = callerserver.New(callerserver.Options{
		Logger: h.Logger, Handler: a.routes(), TLS: tlsConfig, ReadTimeout: 10 * time.Second, WriteTimeout: 30 * time.Second,
		Limits: callerserver.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute},
		Room:   policy.OperatorLimits,
		Refuse: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	})
	return nil
}

// Validate implements kernel.Validator.
func (a *Admin) Validate() error {
	for _, op := range a.operators {
		if len(op.tokenHash) != 64 {
			return errors.Errorf("[operator %s] token_sha256: want 64 hexadecimal digits", op.name)
		}
	}
	return nil
}

// Start implements kernel.Starter.
func (a *Admin) Start(context.Context) error {
	address := a.host.Settings.String(section, "listen")
	if address == "" {
		return nil
	}
	if err := a.server.Listen(address); err != nil {
		return errors.Wrap(err, "admin")
	}
	a.listening = true
	a.host.Logger.Info("admin server listening", "address", a.Address())
	return nil
}

// Address returns the address that the server listens on, or "" if it does not
// listen.
func (a *Admin) Address() string {
	if !a.listening {
		return ""
	}
	return a.server.Address().String()
}

// Stop implements kernel.Stopper.
func (a *Admin) Stop(ctx context.Context) error {
	if !a.listening {
		return nil
	}
	return errors.Wrap(a.server.Stop(ctx), "admin")
}

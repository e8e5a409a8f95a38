// Package platformlog provides the platform's log service to the other modules
// of an instance.
package platformlog

import (
	"context"
	"time"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
	"github.com/savoryfold/savoryfold/platform"
)

const section = "platform"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "platformlog",
		Phase: kernel.PhasePlatform,
		Settings: []config.Key{
			{Section: section, Name: "log", Kind: config.Address, Doc: "address of the platform's log service; empty disables it"},
			{Section: section, Name: "log_timeout", Kind: config.Duration, Default: "1s", Doc: "timeout of one call to the log service"},
		},
		New: func() kernel.Module { return &Module{} },
	})
}

// Module implements kernel.Log and counts its calls by result. Without an
// address, every call fails with kernel.ErrLogUnavailable.
type Module struct {
	host   *kernel.Host
	client *platform.LogClient
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(h *kernel.Host) error {
	m.host = h
	if address := h.Settings.String(section, "log"); address != "" {
		m.client = platform.NewLogClient(address, h.Settings.Duration(section, "log_timeout"))
	}
	return nil
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	if m.client != nil {
		m.client.Close()
	}
	return nil
}

// Append implements kernel.Log.
func (m *Module) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	if m.client == nil {
		return 0, kernel.ErrLogUnavailable
	}
	offset, err := m.client.Append(ctx, stream, record)
	m.count("append", err)
	return offset, err
}

// Read implements kernel.Log.
func (m *Module) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (kernel.LogBatch, error) {
	if m.client == nil {
		return kernel.LogBatch{}, kernel.ErrLogUnavailable
	}
	batch, err := m.client.Read(ctx, stream, from, wait)
	if ctx.Err() == nil {
		m.count("read", err)
	}
	return batch, err
}

func (m *Module) count(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.host.Counter(`log_calls{call="` + call + `",result="` + result + `"}`).Inc(1)
}

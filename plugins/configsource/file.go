// Package configsource provides the tables of the configuration.
//
// The module "configsource.log" reads them from the log service and accepts
// edits. The module "configsource.file" is the baseline: it reads the tables
// once from a file and rejects edits.
package configsource

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/kernel"
)

const section = "tables"

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    "configsource.file",
		Phase: kernel.PhaseConfig,
		Settings: []config.Key{
			{Section: section, Name: "file", Doc: "file with the tables, read by configsource = file"},
		},
		New: func() kernel.Module { return &File{} },
	})
}

// File implements kernel.ConfigSource with tables read from a file at the start.
type File struct{ host *kernel.Host }

// ErrReadOnly is returned for an edit of tables that come from a file.
var ErrReadOnly = errors.New("the tables come from a file and take no edits")

// Provision implements kernel.Provisioner.
func (f *File) Provision(h *kernel.Host) error {
	f.host = h
	return nil
}

// Start implements kernel.Starter.
func (f *File) Start(context.Context) error {
	path := f.host.Settings.String(section, "file")
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "[tables] file")
	}
	t, err := config.ParseTables(path, text)
	if err != nil {
		return err
	}
	f.host.SetTables(t)
	return nil
}

// Edit implements kernel.ConfigSource.
func (f *File) Edit(context.Context, config.Edit) (config.EditResult, error) {
	return config.EditResult{}, ErrReadOnly
}

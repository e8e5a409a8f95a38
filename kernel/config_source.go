package kernel

import (
	"context"

	"github.com/savoryfold/savoryfold/config"
)

// ConfigSource puts tables in force by Host.SetTables.
type ConfigSource interface {
	// Edit submits an edit and waits for the verdict.
	Edit(ctx context.Context, e config.Edit) (config.EditResult, error)
}

package kernel

import (
	"context"

	"github.com/savoryfold/savoryfold/config"
)

// ConfigSource obtains configuration tables and activates them with
// Host.SetTables.
type ConfigSource interface {
	// Edit submits an edit and waits until it is accepted or refused.
	Edit(ctx context.Context, e config.Edit) (config.EditResult, error)
}

package membership

import (
	"fmt"
	"log/slog"
	"sync"
)

// gnetStart serializes the starts of gnet engines, which set a logger that all
// engines of the process share.
var gnetStart sync.Mutex

// gnetLogger passes gnet's log lines on. gnet's notices of normal work are
// debug lines here, and it cannot end the process.
type gnetLogger struct{}

func (gnetLogger) Debugf(format string, args ...any) { slog.Debug(fmt.Sprintf(format, args...)) }
func (gnetLogger) Infof(format string, args ...any)  { slog.Debug(fmt.Sprintf(format, args...)) }
func (gnetLogger) Warnf(format string, args ...any)  { slog.Warn(fmt.Sprintf(format, args...)) }
func (gnetLogger) Errorf(format string, args ...any) { slog.Error(fmt.Sprintf(format, args...)) }
func (gnetLogger) Fatalf(format string, args ...any) { slog.Error(fmt.Sprintf(format, args...)) }

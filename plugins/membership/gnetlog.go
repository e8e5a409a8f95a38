package membership

import (
	"fmt"
	"log/slog"
	"sync"
)

// gnetStart serializes the starts of gnet engines: each start sets the logger
// that all engines of the process share.
var gnetStart sync.Mutex

// gnetLogger forwards gnet's log lines to slog. Info lines are logged at debug
// level, and Fatalf does not exit the process.
type gnetLogger struct{}

func (gnetLogger) Debugf(format string, args ...any) { slog.Debug(fmt.Sprintf(format, args...)) }
func (gnetLogger) Infof(format string, args ...any)  { slog.Debug(fmt.Sprintf(format, args...)) }
func (gnetLogger) Warnf(format string, args ...any)  { slog.Warn(fmt.Sprintf(format, args...)) }
func (gnetLogger) Errorf(format string, args ...any) { slog.Error(fmt.Sprintf(format, args...)) }
func (gnetLogger) Fatalf(format string, args ...any) { slog.Error(fmt.Sprintf(format, args...)) }

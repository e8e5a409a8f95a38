package kernel

import (
	"io"
	"log/slog"

	"github.com/savoryfold/savoryfold/config"
)

// NewLogger returns a logger configured by the settings, and the variable that
// changes its level at run time.
func NewLogger(s *config.Settings, w io.Writer) (*slog.Logger, *slog.LevelVar) {
	level := &slog.LevelVar{}
	// The settings are validated, so the level is a known one.
	_ = level.UnmarshalText([]byte(s.String("log", "level")))
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors}
	if s.String("log", "format") == "json" {
		return slog.New(slog.NewJSONHandler(w, options)), level
	}
	return slog.New(slog.NewTextHandler(w, options)), level
}

// plainErrors logs an error by its message only. Errors made with pkg/errors
// carry a stack trace, which does not belong in a log line.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

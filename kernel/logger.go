package kernel

import (
	"io"
	"log/slog"

	"github.com/savoryfold/savoryfold/config"
)

// NewLogger makes the logger that the settings ask for, and the variable that
// changes its level while the process runs.
func NewLogger(s *config.Settings, w io.Writer) (*slog.Logger, *slog.LevelVar) {
	level := &slog.LevelVar{}
	// The settings were checked, so the level is a known one.
	_ = level.UnmarshalText([]byte(s.String("log", "level")))
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors}
	if s.String("log", "format") == "json" {
		return slog.New(slog.NewJSONHandler(w, options)), level
	}
	return slog.New(slog.NewTextHandler(w, options)), level
}

// plainErrors logs an error by its message: the errors of this project carry
// the stack where they were made, which is no part of a log line.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

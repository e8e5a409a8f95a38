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
	options := &slog.HandlerOptions{Level: level}
	if s.String("log", "format") == "json" {
		return slog.New(slog.NewJSONHandler(w, options)), level
	}
	return slog.New(slog.NewTextHandler(w, options)), level
}

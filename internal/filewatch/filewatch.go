// Package filewatch detects changes of files, so that keys and certificates can be
// reloaded without a restart.
package filewatch

import (
	"os"
	"time"

	"github.com/pkg/errors"
)

// minCheckInterval is the minimum time between two checks of the watched files.
const minCheckInterval = 500 * time.Millisecond

// Watch detects changes of the files in Paths by their size and modification time.
// It is not safe for concurrent use.
type Watch struct {
	Paths   []string
	checked time.Time
	stamps  []fileStamp
}

type fileStamp struct {
	size     int64
	modified time.Time
}

// Changed reports whether a file has changed since Changed last returned true. The
// first call returns true. Within minCheckInterval of the last check it returns
// false without a check.
func (w *Watch) Changed(now time.Time) (bool, error) {
	if len(w.stamps) > 0 && now.Sub(w.checked) < minCheckInterval {
		return false, nil
	}
	w.checked = now
	stamps := make([]fileStamp, 0, len(w.Paths))
	for _, path := range w.Paths {
		info, err := os.Stat(path)
		if err != nil {
			return false, errors.Wrap(err, "watched file")
		}
		stamps = append(stamps, fileStamp{info.Size(), info.ModTime()})
	}
	for i := range w.stamps {
		if stamps[i] != w.stamps[i] {
			w.stamps = nil
			break
		}
	}
	changed := len(w.stamps) == 0
	w.stamps = stamps
	return changed, nil
}

// Retry makes the next check report a change. Call it when the files could not be
// loaded: they may be only partly replaced.
func (w *Watch) Retry() { w.stamps = nil }

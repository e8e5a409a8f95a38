// Package filewatch tells when files change, so that keys and certificates can
// be renewed without a stop.
package filewatch

import (
	"os"
	"time"

	"github.com/pkg/errors"
)

// checkInterval is the least time between two looks at watched files.
const checkInterval = 500 * time.Millisecond

// Watch tells when files change, by their sizes and times of modification. It
// is not safe for concurrent use.
type Watch struct {
	Paths   []string
	checked time.Time
	stamps  []fileStamp
}

type fileStamp struct {
	size     int64
	modified time.Time
}

// Changed reports whether a file changed since the last time that Changed
// returned true. The first call returns true.
func (w *Watch) Changed(now time.Time) (bool, error) {
	if len(w.stamps) > 0 && now.Sub(w.checked) < checkInterval {
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

// Retry makes the next look report a change, after the files were not right:
// they may be half replaced.
func (w *Watch) Retry() { w.stamps = nil }

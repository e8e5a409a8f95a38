package kernel

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// EventCollector takes the events of a stage that streams, over all calls of
// the stage. It keeps their order: an event that came before is dropped, and a
// missing one is an error. Event IDs count from 1.
type EventCollector struct {
	// sink receives each event once; nil if the caller wants a whole answer.
	sink EventSink
	last int
	text strings.Builder
}

// ErrEventLost is returned when a backend server skipped an event.
var ErrEventLost = errors.New("an event of the stream is missing")

// maxStreamBytes bounds the text of one stream.
const maxStreamBytes = 16 << 20

// ErrStreamTooLong is returned when a stream's text is larger than 16 MiB.
var ErrStreamTooLong = errors.New("the stream is too long")

// ErrCallerGone is returned when the caller no longer takes events.
var ErrCallerGone = errors.New("the caller is gone")

// Send implements EventSink.
func (c *EventCollector) Send(e Event) error {
	id, err := strconv.Atoi(e.ID)
	if err != nil || id > c.last+1 {
		return errors.Wrapf(ErrEventLost, "event %q after %d", e.ID, c.last)
	}
	if id <= c.last {
		return nil
	}
	if c.text.Len()+len(e.Data) > maxStreamBytes {
		return ErrStreamTooLong
	}
	if c.sink != nil {
		if err := c.sink.Send(e); err != nil {
			return errors.Wrap(ErrCallerGone, err.Error())
		}
	}
	c.last = id
	c.text.WriteString(e.Data)
	return nil
}

// LastID is the ID from which another call resumes the stream, "" for the
// beginning.
func (c *EventCollector) LastID() string {
	if c.last == 0 {
		return ""
	}
	return strconv.Itoa(c.last)
}

// Text is the text of all events.
func (c *EventCollector) Text() string { return c.text.String() }

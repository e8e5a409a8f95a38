package kernel

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// EventCollector collects the events of a streaming stage over all calls of the
// stage. Event IDs are consecutive and begin at 1. Duplicate events are dropped;
// a gap is an error.
type EventCollector struct {
	// sink receives each event once; nil if the caller wants one complete answer.
	sink EventSink
	last int
	text strings.Builder
}

// NewEventCollector returns a collector that passes each event on to a sink. The sink is
// nil if the caller wants one complete answer.
func NewEventCollector(sink EventSink) *EventCollector { return &EventCollector{sink: sink} }

// ErrEventLost is returned if a backend server skipped an event.
var ErrEventLost = errors.New("an event of the stream is missing")

// maxStreamBytes is the maximum size of the text of one stream.
const maxStreamBytes = 16 << 20

// ErrStreamTooLong is returned if a stream's text is larger than 16 MiB.
var ErrStreamTooLong = errors.New("the stream is too long")

// ErrCallerGone is returned if the caller no longer accepts events.
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

// LastID returns the ID of the last event received, after which a retry resumes
// the stream, or "" if there is none.
func (c *EventCollector) LastID() string {
	if c.last == 0 {
		return ""
	}
	return strconv.Itoa(c.last)
}

// Text returns the concatenated data of all events.
func (c *EventCollector) Text() string { return c.text.String() }

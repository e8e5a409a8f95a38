// Package eventstream divides the bytes of a stream of server-sent events into events,
// which it leaves unchanged. Lines end with LF, CR LF or CR, and an empty line ends an
// event.
package eventstream

import "bytes"

// Event is one block of a stream, up to and including the empty line that ends it.
type Event struct {
	// ID is the value of the last field "id". HasID is false if there is none.
	ID    string
	HasID bool
	// Empty is true if the block holds none of the fields of an event, and is thus none:
	// only comments, say, or text that is no stream.
	Empty bool
}

// maxIdleBytes is the size of the buffer that is kept after a large event.
const maxIdleBytes = 64 << 10

// Splitter divides a stream into events as its bytes arrive. The zero value is ready
// for use.
type Splitter struct {
	rest   []byte // bytes since the end of the last event
	read   int    // length of the part of rest that has been scanned
	line   int    // start of the current line in rest
	event  Event  // the fields of the current event so far
	text   bool   // the current event has a line that is no comment
	fields bool   // the current event has a field of an event
	ending lineEnding
	// pendingCR is true if the last byte is a CR that LF may follow.
	pendingCR bool
	events    int
}

// lineEnding is the ending of the last line.
type lineEnding int

const (
	endingNone lineEnding = iota
	endingLF
	endingCR
	endingCRLF
)

// Add adds bytes of the stream. It returns the bytes of the events that are now
// complete, with those of earlier calls that precede them, and the events.
func (s *Splitter) Add(data []byte) (complete []byte, events []Event) {
	s.rest = append(s.rest, data...)
	end := 0
	ends := lineEnds{text: s.rest}
	for ; s.read < len(s.rest); s.read++ {
		if !s.pendingCR {
			if s.read = ends.next(s.read); s.read == len(s.rest) {
				break
			}
		}
		b := s.rest[s.read]
		if s.pendingCR {
			s.pendingCR = false
			if b == '\n' {
				end = s.endLine(end, s.read-1, s.read+1, endingCRLF, &events)
				continue
			}
			end = s.endLine(end, s.read-1, s.read, endingCR, &events)
		}
		switch {
		case b == '\n':
			end = s.endLine(end, s.read, s.read+1, endingLF, &events)
		case b == '\r' && s.line == s.read && s.ending == endingCR:
			// An empty line in a stream whose lines end with CR: no LF is awaited,
			// which would delay the event.
			end = s.endLine(end, s.read, s.read+1, endingCR, &events)
		case b == '\r':
			s.pendingCR = true
		}
	}
	if end == 0 {
		return nil, nil
	}
	complete = bytes.Clone(s.rest[:end])
	if rest := s.rest[end:]; cap(s.rest) > maxIdleBytes && len(rest) <= maxIdleBytes {
		s.rest = bytes.Clone(rest)
	} else {
		s.rest = append(s.rest[:0], rest...)
	}
	s.read -= end
	s.line -= end
	return complete, events
}

// lineEnds finds the line endings of a text.
type lineEnds struct {
	text   []byte
	lf, cr int // the next ones of each kind, or the length of the text
	found  bool
}

// next returns the index of the first LF or CR from i on, or the length of the text.
func (l *lineEnds) next(i int) int {
	if !l.found || l.lf < i {
		l.lf = l.index(i, '\n')
	}
	if !l.found || l.cr < i {
		l.cr = l.index(i, '\r')
	}
	l.found = true
	return min(l.lf, l.cr)
}

func (l *lineEnds) index(i int, b byte) int {
	if n := bytes.IndexByte(l.text[i:], b); n >= 0 {
		return i + n
	}
	return len(l.text)
}

// endLine ends the line that holds the bytes from s.line to text; next is the start of
// the following line. It returns the end of the last complete event: next if the line
// ends one, otherwise end.
func (s *Splitter) endLine(end, text, next int, ending lineEnding, events *[]Event) int {
	line := s.rest[s.line:text]
	s.line, s.ending = next, ending
	if len(line) > 0 {
		s.addField(line)
		return end
	}
	s.event.Empty = !s.fields
	if s.fields {
		s.events++
	}
	*events = append(*events, s.event)
	s.event, s.text, s.fields = Event{}, false, false
	return next
}

func (s *Splitter) addField(line []byte) {
	if line[0] == ':' {
		return // a comment
	}
	s.text = true
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		s.fields = true
		s.event.ID, s.event.HasID = string(bytes.TrimSpace(value)), true
	case "data", "event":
		s.fields = true
	}
}

// Events returns the number of complete events so far.
func (s *Splitter) Events() int { return s.events }

// Pending returns the number of bytes after the last complete event.
func (s *Splitter) Pending() int { return len(s.rest) }

// Held returns the number of bytes of memory that the splitter keeps for those.
func (s *Splitter) Held() int { return cap(s.rest) }

// InsideEvent reports whether the bytes after the last complete event are, or may be, the
// start of another one: anything but complete lines with comments.
func (s *Splitter) InsideEvent() bool { return s.text || s.line < len(s.rest) }

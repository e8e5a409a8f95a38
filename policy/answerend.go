package policy

import "strings"

// Framing tells how the end of an answer's body is marked.
type Framing string

// The framings of a body.
const (
	// FramingUnknown means that the head has not arrived completely.
	FramingUnknown Framing = "unknown"
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose means that the body ends with its connection.
	FramedByClose Framing = "close"
	// FramedEmpty means that the answer has no body by its method or status.
	FramedEmpty Framing = "empty"
)

// EndCause tells what ended the reading of an answer.
type EndCause string

// The causes of an end.
const (
	// EndOfBody: the framing marks the end of the body.
	EndOfBody EndCause = "end-of-body"
	// EndClosed: the server closed the connection.
	EndClosed EndCause = "closed"
	// EndReset: the connection was reset.
	EndReset EndCause = "reset"
	// EndSilent: the server stopped responding.
	EndSilent EndCause = "silent"
	// EndDeadline: the request's own time was over, or its caller left.
	EndDeadline EndCause = "deadline"
	// EndMalformed: the bytes are not an answer.
	EndMalformed EndCause = "malformed"
)

// AnswerPlace tells which part of an answer was last read.
type AnswerPlace string

// The places in an answer. The last three are in the body of a stream.
const (
	InHead        AnswerPlace = "head"
	InBody        AnswerPlace = "body"
	BeforeEvents  AnswerPlace = "before-first-event"
	InsideEvent   AnswerPlace = "inside-event"
	BetweenEvents AnswerPlace = "between-events"
)

// AnswerEnd describes what had arrived of a server's answer when it ended, and how it
// ended.
type AnswerEnd struct {
	Framing Framing
	Cause   EndCause
	Place   AnswerPlace
	// Success is true if the status is 2xx.
	Success bool
	// Stream is true if the answer has to be a stream of events: its route is one for
	// streams, and the status is 2xx.
	Stream bool
	// Discontinuous is true for a stream whose first event does not directly follow the
	// last one that the caller has.
	Discontinuous bool
	// MayBeEmpty is true for a stream that the caller resumes: it may have all events.
	MayBeEmpty bool
	// Bytes is the length of the body so far, Events the number of its complete events.
	Bytes  int64
	Events int
}

// AnswerVerdict tells whether an answer is one.
type AnswerVerdict string

// The verdicts on an answer.
const (
	AnswerComplete AnswerVerdict = "complete"
	// AnswerBroken means that the server broke off the answer, or that nothing shows that
	// it did not.
	AnswerBroken AnswerVerdict = "broken-off"
	// AnswerInvalid means that the answer has an end and is not one that its route allows.
	AnswerInvalid AnswerVerdict = "invalid"
)

// Verdict judges an answer by its framing, its end, and what its route says about it. The
// end of a connection ends an answer without framing. It is also what a crash of the server
// looks like, so such an answer has to hold something, and a stream has to hold only
// complete events.
func (e AnswerEnd) Verdict() AnswerVerdict {
	unframed := e.Framing == FramedByClose
	switch {
	case e.Cause == EndMalformed, e.Discontinuous:
		return AnswerInvalid
	case e.Place == InHead, e.Cause != EndOfBody && !(unframed && e.Cause == EndClosed):
		return AnswerBroken
	case unframed && e.Success && e.Bytes == 0, unframed && e.Stream && e.Events == 0:
		return AnswerBroken
	case e.Stream && e.Place == InsideEvent:
		return AnswerBroken
	case e.Stream && e.Events == 0 && !e.MayBeEmpty:
		return AnswerInvalid
	}
	return AnswerComplete
}

// ByServer reports whether the server ended the answer, rather than the network or the time
// of the request.
func (e AnswerEnd) ByServer() bool {
	return e.Cause != EndSilent && e.Cause != EndDeadline
}

// Reason names the end, for counters and logs.
func (e AnswerEnd) Reason() string { return string(e.Cause) + "-" + string(e.Place) }

// ValidStatusLine reports whether an answer in HTTP/1 may begin with a line: a version, one
// space and a status (RFC 9112, section 4) of one of the five classes (RFC 9110, section 15).
// The space before a reason that is missing may be missing too, as many servers send it so.
// Another version has another meaning and another status has none, so that what follows is
// no answer to pass on.
func ValidStatusLine(line string) bool {
	rest, ok := strings.CutPrefix(line, "HTTP/1.")
	if !ok || len(rest) < 5 || !isDigit(rest[0]) || rest[1] != ' ' {
		return false
	}
	status := rest[2:5]
	return status[0] >= '1' && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2]) && (len(rest) == 5 || rest[5] == ' ')
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

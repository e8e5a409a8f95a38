package policy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAnswerVerdict(t *testing.T) {
	stream := AnswerEnd{Framing: FramedByChunks, Cause: EndOfBody, Place: BetweenEvents, Success: true, Stream: true, Bytes: 40, Events: 2}
	plain := AnswerEnd{Framing: FramedByLength, Cause: EndOfBody, Place: InBody, Success: true, Bytes: 40}
	for _, c := range []struct {
		name   string
		end    AnswerEnd
		change func(*AnswerEnd)
		want   AnswerVerdict
	}{
		{"a stream in chunks", stream, func(*AnswerEnd) {}, AnswerComplete},
		{"a stream without framing", stream, func(e *AnswerEnd) { e.Framing, e.Cause = FramedByClose, EndClosed }, AnswerComplete},
		{"an empty stream", stream, func(e *AnswerEnd) { e.Place, e.Events, e.Bytes = BeforeEvents, 0, 0 }, AnswerInvalid},
		{"an empty rest of a stream", stream, func(e *AnswerEnd) { e.Place, e.Events, e.Bytes, e.MayBeEmpty = BeforeEvents, 0, 0, true }, AnswerComplete},
		{"an empty rest of a stream without framing", stream, func(e *AnswerEnd) {
			e.Framing, e.Cause, e.Place, e.Events, e.MayBeEmpty = FramedByClose, EndClosed, BeforeEvents, 0, true
		}, AnswerBroken},
		{"a stream in chunks that ends inside an event", stream, func(e *AnswerEnd) { e.Place = InsideEvent }, AnswerBroken},
		{"a stream that the server closes before its last chunk", stream, func(e *AnswerEnd) { e.Cause = EndClosed }, AnswerBroken},
		{"a stream without framing whose connection is reset", stream, func(e *AnswerEnd) { e.Framing, e.Cause = FramedByClose, EndReset }, AnswerBroken},
		{"a stream without framing whose server is silent", stream, func(e *AnswerEnd) { e.Framing, e.Cause = FramedByClose, EndSilent }, AnswerBroken},
		{"a stream whose time is over", stream, func(e *AnswerEnd) { e.Cause = EndDeadline }, AnswerBroken},
		{"a stream that does not continue the one before", stream, func(e *AnswerEnd) { e.Discontinuous = true }, AnswerInvalid},
		{"a plain answer", plain, func(*AnswerEnd) {}, AnswerComplete},
		{"an empty plain answer", plain, func(e *AnswerEnd) { e.Bytes = 0 }, AnswerComplete},
		{"a plain answer without framing", plain, func(e *AnswerEnd) { e.Framing, e.Cause = FramedByClose, EndClosed }, AnswerComplete},
		{"an empty plain answer without framing", plain, func(e *AnswerEnd) { e.Framing, e.Cause, e.Bytes = FramedByClose, EndClosed, 0 }, AnswerBroken},
		{"an empty error without framing", plain, func(e *AnswerEnd) { e.Framing, e.Cause, e.Bytes, e.Success = FramedByClose, EndClosed, 0, false }, AnswerComplete},
		{"a part of a head", plain, func(e *AnswerEnd) { e.Framing, e.Cause, e.Place = FramingUnknown, EndClosed, InHead }, AnswerBroken},
		{"bytes that are no answer", plain, func(e *AnswerEnd) { e.Framing, e.Cause, e.Place = FramingUnknown, EndMalformed, InHead }, AnswerInvalid},
	} {
		Convey("The verdict on "+c.name, t, func() {
			end := c.end
			c.change(&end)
			So(end.Verdict(), ShouldEqual, c.want)
		})
	}
}

func TestValidStatusLine(t *testing.T) {
	for line, valid := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.0 200 OK": true, "HTTP/1.9 200 OK": true, "HTTP/1.1 200": true, "HTTP/1.1 200 ": true,
		"HTTP/1.1 100 Continue": true, "HTTP/1.1 599 a b": true,
		"": false, "HTTP/1.1": false, "HTTP/1.1 ": false, "HTTP/1.1 20": false, "HTTP/1.1 2000": false, "HTTP/1.1 200OK": false,
		"HTTP/1.1  200 OK": false, " HTTP/1.1 200 OK": false, "http/1.1 200 OK": false, "HTTP/0.9 200 OK": false, "HTTP/2.0 200 OK": false,
		"HTTP/1.x 200 OK": false, "HTTP/1.11 200 OK": false, "HTTP/1 200 OK": false, "HTTP/1.1 000": false, "HTTP/1.1 099": false,
		"HTTP/1.1 600 Other": false, "HTTP/1.1 999 Other": false, "HTTP/1.1 -20": false, "HTTP/1.1 +20": false, "HTTP/1.1 2\u0662": false,
	} {
		Convey("The line "+line, t, func() { So(ValidStatusLine(line), ShouldEqual, valid) })
	}
}

package standin

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// BreakPlace is the place at which a truncated response breaks off.
type BreakPlace string

// The places. Without one, the response breaks off inside its body and tells by its framing
// that it is not complete.
const (
	BreakInHead BreakPlace = "head"
	// BreakAfterHead and BreakUnframed break off a response that has neither a length nor
	// chunks, so that it ends with its connection: before and inside its body.
	BreakAfterHead BreakPlace = "after-head"
	BreakUnframed  BreakPlace = "unframed"
	// BreakInChunk breaks off inside the body, and inside an event of a stream.
	BreakInChunk BreakPlace = "chunk"
	// BreakNever sends the complete response without framing.
	BreakNever BreakPlace = "end"
)

// sendBody sends a response of the given length, or a part of it if it is to be truncated,
// and reports whether it sent the complete body.
func (c *activeCall) sendBody(w http.ResponseWriter, body []byte) bool {
	switch {
	case c.truncate && c.breakAt != "":
		breakOff(w, c.breakAt, body)
		return false
	case c.truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	return true
}

// breakOff sends a response with the headers that were set, and closes the connection at a
// place.
func breakOff(w http.ResponseWriter, place BreakPlace, body []byte) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic("standin: " + err.Error())
	}
	defer conn.Close()
	header := w.Header().Clone()
	header.Del("Content-Length")
	if place == BreakInChunk {
		header.Set("Transfer-Encoding", "chunked")
	}
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&b) // a bytes.Buffer never fails
	if place != BreakInHead {
		b.WriteString("\r\n")
	}
	switch place {
	case BreakUnframed:
		b.Write(body[:len(body)/2])
	case BreakInChunk:
		part := body[:len(body)/2]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	case BreakNever:
		b.Write(body)
	}
	_, _ = conn.Write(b.Bytes()) // the caller may have disconnected
}

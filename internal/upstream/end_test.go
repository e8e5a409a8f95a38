package upstream

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestReadBody guards against answers that broke off and are used by what buffers them.
func TestReadBody(t *testing.T) {
	const limit = 8
	for _, c := range []struct {
		name, answer string
		complete     bool
	}{
		{"a body with a length", "200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		{"an empty body with a length", "200 OK\r\nContent-Length: 0\r\n\r\n", true},
		{"a body in chunks", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		{"a body without framing", "200 OK\r\n\r\nbody", true},
		{"an error without framing and body", "503 Busy\r\n\r\n", true},
		{"a body of the limit", "200 OK\r\n\r\n12345678", true},
		{"a body beyond the limit", "200 OK\r\n\r\n123456789", false},
		{"a part of a body with a length", "200 OK\r\nContent-Length: 4\r\n\r\nbod", false},
		{"a body without its last chunk", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false},
		{"a body with a part of its last chunk", "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", false},
		{"a success without framing and body", "200 OK\r\n\r\n", false},
		{"a status of no class", "600 Other\r\nContent-Length: 4\r\n\r\nbody", false},
	} {
		Convey("Reading "+c.name, t, func() {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+c.answer)), nil)
			So(err, ShouldBeNil)
			_, err = ReadBody(resp, resp.Body, limit)
			So(err == nil, ShouldEqual, c.complete)
		})
	}
}

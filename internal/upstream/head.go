package upstream

import (
	"bytes"
	"io"
	"net"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/internal/membudget"
	"github.com/savoryfold/savoryfold/policy"
)

// headBlockBytes is the size of the reads of a head that is larger than the connection's
// read buffer.
const headBlockBytes = 4 << 10

// headSource passes on what was read ahead of a connection, then the connection.
type headSource struct {
	conn    net.Conn
	pending []byte
	// limit is the number of bytes that the parser of a head may still read; negative if it
	// is not bound.
	limit int
}

// unlimited is the limit of a headSource outside heads.
const unlimited = -1

// Read implements io.Reader.
func (s *headSource) Read(p []byte) (n int, err error) {
	if s.limit == 0 {
		return 0, ErrHeadTooLarge
	}
	if s.limit > 0 {
		p = p[:min(len(p), s.limit)]
	}
	if len(s.pending) == 0 {
		n, err = s.conn.Read(p)
	} else {
		n = copy(p, s.pending)
		if s.pending = s.pending[n:]; len(s.pending) == 0 {
			s.pending = nil
		}
	}
	if s.limit > 0 {
		s.limit -= n
	}
	return n, err
}

// headBuffers holds buffers for heads that are larger than a connection's read buffer.
var headBuffers = sync.Pool{New: func() any { return new([headBufferBytes]byte) }}

// headBufferBytes is the size of a buffer for the largest head, and what may follow it in
// the same read.
const headBufferBytes = MaxHeadBytes + headBlockBytes

// headScan bounds the heads of a response, which may follow interim ones, before they are
// parsed: a parsed head may take many times its size.
type headScan struct {
	memory *membudget.Hold
	// bytes and lines are those of all heads so far.
	bytes, lines int
	buffer       *[headBufferBytes]byte
}

// next reads ahead until the next head is complete, or until the parser finds a line that is
// no part of one.
func (s *headScan) next(c *conn) error {
	if c.br.Buffered() == 0 {
		if _, err := c.br.Peek(1); err != nil {
			return headEnd(err)
		}
	}
	data, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return headEnd(err)
	}
	inBuffer := true // data is the connection's read buffer
	scanned, line, first, old := 0, 0, true, false
	for {
		for ; scanned < len(data); scanned++ {
			if data[scanned] != '\n' {
				continue
			}
			text := bytes.TrimSuffix(data[line:scanned], []byte("\r"))
			line = scanned + 1
			if s.lines++; s.lines > maxHeadLines || s.bytes+line > MaxHeadBytes {
				return ErrHeadTooLarge
			}
			if first && !policy.ValidStatusLine(string(text)) {
				return errors.Wrapf(ErrMalformedHead, "%.40q", text)
			}
			if first {
				old = bytes.HasPrefix(text, []byte("HTTP/1.0"))
			}
			// The parser would take the chunks for the body.
			if old && isTransferEncoding(text) {
				return errors.Wrap(ErrMalformedHead, "a transfer encoding in HTTP/1.0")
			}
			if len(text) == 0 || !first && !isHeadLine(text) {
				s.bytes += line
				c.source.limit = MaxHeadBytes
				if !inBuffer {
					c.source.pending = append(data, c.source.pending...)
					c.br.Reset(c.source)
				}
				return nil
			}
			first = false
		}
		if s.bytes+len(data) > MaxHeadBytes {
			return ErrHeadTooLarge
		}
		if data, err = s.more(c, data, inBuffer); err != nil {
			return headEnd(err)
		}
		inBuffer = false
	}
}

// more returns data with further bytes of the connection. inBuffer says whether data is in
// the connection's read buffer; it is copied then.
func (s *headScan) more(c *conn, data []byte, inBuffer bool) ([]byte, error) {
	if inBuffer && s.buffer == nil {
		if err := s.memory.Grow(headBufferBytes); err != nil {
			return nil, err
		}
		s.buffer = headBuffers.Get().(*[headBufferBytes]byte)
	}
	if inBuffer {
		data = append(s.buffer[:0], data...)
	}
	data = slices.Grow(data, headBlockBytes)
	from := io.Reader(c.Conn)
	if len(c.source.pending) > 0 {
		from = c.source
	}
	n, err := from.Read(data[len(data) : len(data)+headBlockBytes])
	if n > 0 {
		err = nil
	}
	return data[:len(data)+n], err
}

// release frees the memory of heads that have been parsed.
func (s *headScan) release(c *conn) {
	if s.buffer == nil {
		return
	}
	c.source.pending = bytes.Clone(c.source.pending) // may be in the buffer
	headBuffers.Put(s.buffer)
	s.memory.Shrink(headBufferBytes)
}

// isHeadLine reports whether a line after the first may be part of a head. The parser
// rejects all others at once.
func isHeadLine(text []byte) bool {
	if text[0] == ' ' || text[0] == '\t' {
		return true // continues the line before
	}
	name, _, found := bytes.Cut(text, []byte(":"))
	return found && len(name) > 0 && !bytes.ContainsAny(name, " \t")
}

// isTransferEncoding reports whether a line is a Transfer-Encoding header.
func isTransferEncoding(text []byte) bool {
	name, _, found := bytes.Cut(text, []byte(":"))
	return found && bytes.EqualFold(name, []byte("Transfer-Encoding"))
}

// headEnd returns the error of a connection that ends inside a head.
func headEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

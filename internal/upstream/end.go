package upstream

import (
	"cmp"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"github.com/savoryfold/savoryfold/policy"
)

// End describes the answer of an exchange whose reading ended with err: io.EOF or nil at
// the end of the body.
func (x *Exchange) End(err error) policy.AnswerEnd {
	return DescribeEnd(x.Response, x.body.bytes, err)
}

// DescribeEnd describes an answer of which the head has arrived, the given number of
// bytes of its body were read, and the reading ended with err.
func DescribeEnd(resp *http.Response, bodyBytes int64, err error) policy.AnswerEnd {
	end := policy.AnswerEnd{Framing: framing(resp), Cause: EndCause(err), Place: policy.InBody, Success: resp.StatusCode/100 == 2, Bytes: bodyBytes}
	if end.Framing == policy.FramedByClose && end.Cause == policy.EndOfBody {
		end.Cause = policy.EndClosed
	}
	return end
}

// ReadBody reads the body of a response of which only the head was read. body is the
// response's body or a reader of it. A body of more than limit bytes is an error, and so is an
// answer that is not complete.
func ReadBody(resp *http.Response, body io.Reader, limit int64) ([]byte, error) {
	if err := CheckHead(resp); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if int64(len(data)) > limit {
		return nil, errors.Errorf("response exceeds %d bytes", limit)
	}
	if end := DescribeEnd(resp, int64(len(data)), err); end.Verdict() != policy.AnswerComplete {
		return nil, errors.Wrapf(cmp.Or(err, io.ErrUnexpectedEOF), "answer ended early (%s)", end.Reason())
	}
	return data, nil
}

// CheckHead returns an error if the first line of a response that net/http has parsed is not
// valid. A Pool checks that itself. Responses in HTTP/2, which net/http uses over TLS only,
// have no such line.
func CheckHead(resp *http.Response) error {
	if resp.TLS != nil && resp.ProtoMajor == 2 {
		return nil
	}
	if line := resp.Proto + " " + resp.Status; !policy.ValidStatusLine(line) {
		return errors.Wrapf(ErrMalformedHead, "%.40q", line)
	}
	return nil
}

// framing returns how the end of a response's body is marked.
func framing(resp *http.Response) policy.Framing {
	switch {
	case resp.Request != nil && resp.Request.Method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		return policy.FramedEmpty
	case len(resp.TransferEncoding) > 0:
		return policy.FramedByChunks
	case resp.ContentLength >= 0:
		return policy.FramedByLength
	}
	return policy.FramedByClose
}

// EndCause returns the cause of an error of a read. The error of a connection whose
// context has ended is that of a passed deadline.
func EndCause(err error) policy.EndCause {
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return policy.EndOfBody
	// The error of net/http for an incomplete trailer is not exported.
	case errors.Is(err, io.ErrUnexpectedEOF), strings.Contains(err.Error(), "unexpected EOF"):
		return policy.EndClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return policy.EndDeadline
	case errors.Is(err, syscall.ETIMEDOUT):
		return policy.EndSilent
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return policy.EndReset
	}
	return policy.EndMalformed
}

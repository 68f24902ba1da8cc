package backend

import (
	"bufio"
	"bytes"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// oldProtocol begins each response of HTTP/1.0.
const oldProtocol = "HTTP/1.0"

// ErrCodedOldProtocol is returned for a response of HTTP/1.0 with a transfer coding, which that version does not have.
// Its framing is faulty (RFC 9112, section 6.1); net/http removes the header and takes the body as it comes.
var ErrCodedOldProtocol = errors.New("the response has a transfer coding, which HTTP/1.0 does not have")

// isOldProtocol reports whether the next response is one of HTTP/1.0.
func isOldProtocol(r *bufio.Reader) bool {
	begin, err := r.Peek(len(oldProtocol))
	return err == nil && string(begin) == oldProtocol // the next read returns the error again
}

// checkOldHead returns ErrCodedOldProtocol if the head at the start of data names a transfer coding.
func checkOldHead(data []byte) error {
	head := textproto.NewReader(bufio.NewReader(bytes.NewReader(data)))
	if _, err := head.ReadLine(); err != nil {
		return errors.Wrap(err, "the status line of the response")
	}
	header, err := head.ReadMIMEHeader()
	if err != nil {
		return errors.Wrap(err, "the headers of the response")
	}
	if _, coded := header["Transfer-Encoding"]; coded {
		return ErrCodedOldProtocol
	}
	return nil
}

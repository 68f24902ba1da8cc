package backend

import (
	"io"
	"math"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds the status line and the headers of a response, including what its first read
// takes of the body.
const maxHeadBytes = 64 << 10

// ErrHeadTooLarge means that the head of a response exceeds its size limit. The limit holds before memory
// is spent: a faulty server may send any number of bytes without a line end.
var ErrHeadTooLarge = errors.New("the head of the response exceeds its size limit")

// headReader limits what is read from a connection while the head of a response is read.
type headReader struct {
	source io.Reader
	left   int64
}

// limit begins the head of a response; unlimit ends it.
func (h *headReader) limit()   { h.left = maxHeadBytes }
func (h *headReader) unlimit() { h.left = math.MaxInt64 }

// Read reads from the connection, within the limit.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := h.source.Read(p[:min(int64(len(p)), h.left)])
	h.left -= int64(n)
	return n, err
}

package relay

import (
	"bytes"
	"io"
)

// SingleUseBody is a request body that can't be rewound. net/http sends a request
// again by itself when a kept connection turns out to be closed and the body
// is absent or can be rewound; a request that may run only once must not be.
type SingleUseBody struct{ r io.Reader }

// NewSingleUseBody returns a body over bytes and, after them, the rest of a stream,
// which may be nil.
func NewSingleUseBody(head []byte, rest io.Reader) *SingleUseBody {
	if rest == nil {
		return &SingleUseBody{r: bytes.NewReader(head)}
	}
	return &SingleUseBody{r: io.MultiReader(bytes.NewReader(head), rest)}
}

// Read implements io.Reader.
func (b *SingleUseBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// Close implements io.Closer; the stream is its owner's to close.
func (b *SingleUseBody) Close() error { return nil }

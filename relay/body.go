package relay

import (
	"bytes"
	"io"
)

// OnceBody is a request body that can't be rewound. net/http sends a request
// again by itself when a kept connection turns out to be closed and the body
// is absent or can be rewound; a request that may run only once must not be.
type OnceBody struct{ r io.Reader }

// NewOnceBody returns a body over bytes and, after them, the rest of a stream,
// which may be nil.
func NewOnceBody(head []byte, rest io.Reader) *OnceBody {
	if rest == nil {
		return &OnceBody{r: bytes.NewReader(head)}
	}
	return &OnceBody{r: io.MultiReader(bytes.NewReader(head), rest)}
}

// Read implements io.Reader.
func (b *OnceBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// Close implements io.Closer; the stream is its owner's to close.
func (b *OnceBody) Close() error { return nil }

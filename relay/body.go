package relay

import (
	"bytes"
	"io"
)

// SingleUseBody is a request body that can't be rewound. net/http resends a request on
// its own if a reused connection turns out to be closed and the body is absent or can be
// rewound. A request that may run only once must not be resent.
type SingleUseBody struct{ r io.Reader }

// NewSingleUseBody returns a body that reads head and then rest, which may be nil.
func NewSingleUseBody(head []byte, rest io.Reader) *SingleUseBody {
	if rest == nil {
		return &SingleUseBody{r: bytes.NewReader(head)}
	}
	return &SingleUseBody{r: io.MultiReader(bytes.NewReader(head), rest)}
}

// Read implements io.Reader.
func (b *SingleUseBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// Close implements io.Closer. It does nothing: the owner of the stream closes it.
func (b *SingleUseBody) Close() error { return nil }

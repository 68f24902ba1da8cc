package agent

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// TestOnlyALineEndsAStream guards against event streams that look whole as they break off after an event which quotes
// the line that ends them, and against whole ones that look broken off.
func TestOnlyALineEndsAStream(t *testing.T) {
	for text, whole := range map[string]bool{
		"data: [DONE]":                            true,
		"data: [DONE]\n\n":                        true,
		"data: x\n\ndata: [DONE]\r\n\r\n":         true,
		"data: x\r\rdata: [DONE]\r\r":             true,
		"data: x\n\ndata: [DONE]" + lines(20):     true,
		"":                                        false,
		"data: x\n\n":                             false,
		"data: the last line is data: [DONE]":     false,
		"data: the last line is data: [DONE]\n\n": false,
		"event: x data: [DONE]" + lines(20):       false,
		"data: x\n\n: data: [DONE]\n\ndata: [DON": false,
		"data: [DONE]\n\ndata: more\n\n":          false,
	} {
		for name, reader := range map[string]io.Reader{
			"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
		} {
			_, err := io.ReadAll(&terminatedStream{r: reader})
			require.Equal(t, whole, err == nil, "%q, %s: %v", text, name, err)
		}
	}
}

func lines(n int) string { return strings.Repeat("\n", n) }

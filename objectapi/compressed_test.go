package objectapi

import (
	"compress/gzip"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCompressingPlatformServesObjects guards against whole objects that count as parts: net/http forgets the length of
// what it decompresses.
func TestCompressingPlatformServesObjects(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"8"`)
		w.Header().Set("Connection", "close")
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			fmt.Fprint(w, "content")
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		writer := gzip.NewWriter(w)
		fmt.Fprint(writer, "content")
		_ = writer.Close()
	})
	object, err := client.Get(t.Context(), BundlePointer)
	require.NoError(t, err)
	require.Equal(t, "content", string(object.Body))
}

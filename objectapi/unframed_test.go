package objectapi

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestPartOfAnObjectIsNoObject guards against an object, cut amid its bytes by a platform that sends no length, that is
// taken for the whole.
func TestPartOfAnObjectIsNoObject(t *testing.T) {
	const body = `{"a":1}`
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nETag: \"8\"\r\n\r\n",
		"HTTP/1.0 200 OK\r\nETag: \"8\"\r\n\r\n",
		"HTTP/1.1 200 OK\r\nETag: \"8\"\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 200 OK\r\nETag: \"8\"\r\nContent-Length: 7\r\n\r\n",
		"HTTP/1.1 200 OK\r\nETag: \"8\"\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n",
	} {
		text := head + body
		for end := range text {
			client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = fmt.Fprint(conn, text[:end])
					_ = conn.Close()
				}
			})
			o, err := client.Get(context.Background(), BundlePointer)
			require.True(t, errors.Is(err, ErrUnavailable), "%q: %q", text[:end], o.Body)
		}
	}
}

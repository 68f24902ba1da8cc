package objectapi

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestTrickledObjectEndsWatch guards against changes that are missed until a watch has waited its time, since the
// platform has begun a response that does not end.
func TestTrickledObjectEndsWatch(t *testing.T) {
	const pause = 20 * time.Millisecond
	for name, begin := range map[string]string{
		"head":          "HTTP/1.1 200 OK\r\nA: ",
		"body":          "HTTP/1.1 200 OK\r\nETag: \"8\"\r\nContent-Length: 100000\r\n\r\n",
		"body of a 500": "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 100000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				for _, err = fmt.Fprint(conn, begin); err == nil; _, err = fmt.Fprint(conn, "x") {
					time.Sleep(pause)
				}
			})
			start := time.Now()
			_, err := client.Watch(t.Context(), BundlePointer, 7)
			require.True(t, errors.Is(err, ErrUnavailable), "%v", err)
			require.Less(t, time.Since(start), 2*DefaultTimeout)
		})
	}
}

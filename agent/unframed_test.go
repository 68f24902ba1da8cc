package agent

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnframedResponseOfEndedServer guards against responses without a length or chunks that look whole though their
// server stopped amid them, and against such responses of sound servers that are broken off.
func TestUnframedResponseOfEndedServer(t *testing.T) {
	for _, stops := range []bool{true, false} {
		var unhealthy atomic.Bool
		p, _ := newTestProxy(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" {
				if unhealthy.Load() {
					panic(http.ErrAbortHandler)
				}
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // a connection that is closed with unread bytes is reset
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				unhealthy.Store(stops)
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst,")
				_ = conn.Close()
			}
		})
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.forward(w, r, p.target.Load()) }))
		t.Cleanup(s.Close)
		res, body, err := post(t, s.URL)
		if stops {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q looks whole", body)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, res.StatusCode)
		require.Equal(t, "first,", body)
	}
}

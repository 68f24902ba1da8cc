package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

func isAtMostOnce(r *direct.Route) { r.Kind, r.Resumable = direct.AtMostOnce, false }

// unframedHead begins a response of the server that ends with its connection.
func unframedHead(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", id)
}

// sendUnframed sends an unframed response in two parts, some time apart. The second part may be empty.
func sendUnframed(w http.ResponseWriter, r *http.Request, first, second string) {
	serveRaw(w, r, func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprint(conn, unframedHead(r.Header.Get("X-Id")), first)
		time.Sleep(300 * time.Millisecond)
		_, _ = fmt.Fprint(conn, second)
		_ = conn.Close()
	})
}

// TestUnframedEndOfUnlistedStart guards against sound responses that are broken off since the entry of their server is
// older than its process.
func TestUnframedEndOfUnlistedStart(t *testing.T) {
	f := newStartFront(t, 1, isAtMostOnce, func(_ int, w http.ResponseWriter, r *http.Request) {
		if isReport(r) {
			sendStart(w, entryStart+1)
			return
		}
		sendUnframed(w, r, "first,", "second")
	})
	for n := range 3 {
		status, body, err := f.get(t.Context(), fmt.Sprint("r", n))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, "first,second", body)
	}
}

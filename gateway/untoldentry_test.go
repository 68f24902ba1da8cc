package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEntryWithoutStart covers servers that tell their start in reports, but not in their entries.
func TestEntryWithoutStart(t *testing.T) {
	const sentinelsEnd = 2500 * time.Millisecond
	t.Run("another process answers", func(t *testing.T) {
		// Guards against a response that looks whole though its server restarted amid it.
		var start atomic.Int64
		var f *silenceFront
		f = newSilenceFront(t, 1, isAtMostOnce, func(_ int, w http.ResponseWriter, r *http.Request) {
			switch {
			case isReport(r):
				w.Header().Set("Connection", "close")
				sendStart(w, int(start.Load()))
			case r.Header.Get("X-Id") == "first":
				sendUnframed(w, r, "first,", "second")
			default:
				serveRaw(w, r, func(conn net.Conn, r *http.Request) {
					start.Add(1)
					f.servers[0].CloseClientConnections()
					_, _ = fmt.Fprint(conn, unframedHead(r.Header.Get("X-Id")), "first,")
					_ = conn.Close()
				})
			}
		})
		f.dialect = startDialect{}
		status, body, err := f.get(t.Context(), "first")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		time.Sleep(sentinelsEnd)
		status, body, err = f.get(t.Context(), "second")
		require.False(t, err == nil && status == http.StatusOK, "%q looks whole", body)
	})
	t.Run("restarted before", func(t *testing.T) {
		// Guards against sound responses that are broken off since the router knows of a former process.
		var start atomic.Int64
		f := newSilenceFront(t, 1, isAtMostOnce, func(_ int, w http.ResponseWriter, r *http.Request) {
			if isReport(r) {
				w.Header().Set("Connection", "close")
				sendStart(w, int(start.Load()))
				return
			}
			sendUnframed(w, r, "first,", "second")
		})
		f.dialect = startDialect{}
		for n := range 3 {
			status, body, err := f.get(t.Context(), fmt.Sprint("r", n))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, body)
			require.Equal(t, "first,second", body)
			start.Add(1)
			f.servers[0].CloseClientConnections()
		}
	})
}

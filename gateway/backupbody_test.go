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

// TestBackupWithoutBodyIsWhole guards against a panic over a backup's response to HEAD: it has no length and no body.
func TestBackupWithoutBodyIsWhole(t *testing.T) {
	var o order
	f := newSilenceFront(t, 2, func(*direct.Route) {}, func(i int, w http.ResponseWriter, r *http.Request) {
		if o.role(r.Header.Get("X-Id"), i) == 0 {
			pause(r, 5*time.Second)
			return
		}
		serveRaw(w, r, func(conn net.Conn, r *http.Request) {
			_, _ = fmt.Fprint(conn, unframedHead(r.Header.Get("X-Id")))
			_ = conn.Close()
		})
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodHead, f.callers.URL+"/x", nil)
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("X-Id", "a")
	resp, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// TestBackupThatBreaksOffReplacesNoServer guards against requests that fail since a backup whose response without a
// length ended early replaced a silent server, which goes on.
func TestBackupThatBreaksOffReplacesNoServer(t *testing.T) {
	var o order
	var f *silenceFront
	f = newSilenceFront(t, 2, func(*direct.Route) {}, func(i int, w http.ResponseWriter, r *http.Request) {
		if o.role(r.Header.Get("X-Id"), i) == 0 {
			pause(r, time.Second)
			_, _ = fmt.Fprint(w, "whole")
			return
		}
		serveRaw(w, r, func(conn net.Conn, r *http.Request) {
			_, _ = fmt.Fprint(conn, unframedHead(r.Header.Get("X-Id")), "first,")
			time.Sleep(50 * time.Millisecond)
			_ = f.servers[i].Listener.Close()
			_ = conn.Close()
		})
	})
	status, body, err := f.get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, "whole", body)
}

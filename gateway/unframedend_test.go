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

// sendBody sends an unframed response with a body in two parts, of which the second one may be empty.
func sendBody(w http.ResponseWriter, r *http.Request, first, second string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func(c net.Conn) { _ = c.Close() }(conn)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\n\r\n%s", r.Header.Get("X-Id"), first)
	time.Sleep(300 * time.Millisecond)
	_, _ = fmt.Fprint(conn, second)
}

func isAtMostOnceRoute(r *direct.Route) { r.Kind, r.Resumable = direct.AtMostOnce, false }

// TestUnframedEndOfUnlistedStart guards against sound responses that are broken off since the entry of their server is
// older than its process.
func TestUnframedEndOfUnlistedStart(t *testing.T) {
	f := newStartFront(t, 1, isAtMostOnceRoute, func(_ int, w http.ResponseWriter, r *http.Request) {
		if isReport(r) {
			sendStart(w, entryStart+1)
			return
		}
		sendBody(w, r, "first,", "second")
	})
	for n := range 3 {
		status, body, err := f.get(t.Context(), fmt.Sprint("r", n))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, "first,second", body)
	}
}

// TestUnframedEndOfFormerProcess guards against responses that look whole though the process that sent them has ended
// amid them: a kept connection led to it, and the next process accepts connections and is listed.
func TestUnframedEndOfFormerProcess(t *testing.T) {
	former := make(map[string]bool) // connections that were opened to the former process, by remote address
	restarted := false
	f := newStartFront(t, 1, isAtMostOnceRoute, func(_ int, w http.ResponseWriter, r *http.Request) {
		if !restarted {
			former[r.RemoteAddr] = true
		}
		switch isFormer := former[r.RemoteAddr]; {
		case isReport(r) && isFormer:
			sendStart(w, entryStart)
		case isReport(r):
			sendStart(w, entryStart+1)
		case r.Header.Get("X-Id") == "first":
			_, _ = fmt.Fprint(w, "whole")
		case isFormer:
			sendBody(w, r, "first,", "")
		default:
			sendBody(w, r, "first,", "second")
		}
	})
	status, body, err := f.get(t.Context(), "first")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, body)
	restarted = true
	next := f.feeds.Servers.Newest().Servers[0]
	next.ID = fmt.Sprintf("i-0@%d", entryStart+1)
	f.feeds.Servers.OfferAll(&direct.Directory{Revision: 3, Servers: []direct.Server{next}}, "test")
	status, body, err = f.get(t.Context(), "second")
	require.False(t, err == nil && status == http.StatusOK && body != "first,second", "%q looks whole", body)
}

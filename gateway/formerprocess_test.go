package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// entryOf returns the entry of a start of a server.
func entryOf(s *fakeServer, start int) direct.Server {
	return direct.Server{ID: fmt.Sprintf("i-0@%d", start), Service: "llm", Zone: "a", Version: "v1", Address: s.Listener.Addr().String(), Slots: 64}
}

// TestFormerProcessBreaksOff guards against responses that look whole though the process that sent them has ended
// amid them: another one accepts connections at its address, and that of the report and the idle ones lead there.
func TestFormerProcessBreaksOff(t *testing.T) {
	var former atomic.Value // remote address of the connection that leads to the process before
	f := newSilenceFront(t, 1, isAtMostOnce, func(_ int, w http.ResponseWriter, r *http.Request) {
		former.CompareAndSwap(nil, r.RemoteAddr)
		switch {
		case isReport(r):
			sendStart(w, entryStart)
		case r.Header.Get("X-Id") == "first":
			_, _ = fmt.Fprint(w, "whole")
		case former.Load() == r.RemoteAddr:
			sendUnframed(w, r, "first,", "")
		default:
			_, _ = fmt.Fprint(w, "whole")
		}
	})
	f.dialect = startDialect{}
	before := entryOf(f.servers[0], entryStart-1)
	f.feeds.Servers.OfferAll(&direct.Directory{Revision: 2, Servers: []direct.Server{before}}, "test")
	status, body, err := f.get(t.Context(), "first")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, body)
	next := entryOf(f.servers[0], entryStart)
	f.feeds.Servers.OfferAll(&direct.Directory{Revision: 3, Servers: []direct.Server{next}}, "test")
	status, body, err = f.get(t.Context(), "second")
	require.False(t, err == nil && status == http.StatusOK && body != "whole", "%q looks whole", body)
}

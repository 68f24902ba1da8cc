package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/origin"
	"github.com/stretchr/testify/require"
)

// resumingStartDialect is startDialect for callers that take streams up.
type resumingStartDialect struct{ startDialect }

func (d resumingStartDialect) ParseRequest(h http.Header) (RequestInfo, error) {
	info, err := d.startDialect.ParseRequest(h)
	info.AfterEvent = h.Get("X-After")
	return info, err
}

// recordedOrigins knows that servers of v1 began each stream.
type recordedOrigins struct{ noOrigins }

func (recordedOrigins) Lookup(context.Context, string, origin.Key) origin.Resolution {
	return origin.Resolution{Certainty: origin.Recorded, Version: "v1"}
}

// TestConnectionToFormerProcessCostsNoServer guards against streams that are refused since a pooled connection
// leads to the former process of a server, which still serves what it had. New ones lead to that of the entry.
func TestConnectionToFormerProcessCostsNoServer(t *testing.T) {
	var former atomic.Value // remote address of the connection that leads there
	f := newStartFront(t, 1, asIs, func(_ int, w http.ResponseWriter, r *http.Request) {
		former.CompareAndSwap(nil, r.RemoteAddr)
		switch {
		case isReport(r) && former.Load() == r.RemoteAddr:
			sendStart(w, entryStart-1)
		case isReport(r):
			sendStart(w, entryStart)
		default:
			startStream(w)
			sendEvents(w, nextEvent(r), 4)
		}
	})
	f.dialect, f.origins = resumingStartDialect{}, recordedOrigins{}
	conn, err := f.pool.Get(t.Context(), f.servers[0].Listener.Addr().String(), "i-0")
	require.NoError(t, err)
	require.NoError(t, conn.Send(&backend.Request{Method: http.MethodGet, Target: "/report", Host: "h"}))
	resp, err := conn.ReadResponse(http.MethodGet, func(*http.Response) bool { return true })
	require.NoError(t, err)
	_, err = resp.Body.Read(make([]byte, 8))
	require.Error(t, err, "the report ends")
	conn.Release()

	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.callers.URL+"/x", nil)
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("X-Id", "a")
	r.Header.Set("X-After", "2")
	got, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	defer got.Body.Close()
	require.Equal(t, http.StatusOK, got.StatusCode)
}

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// newBodyFront returns a router that takes bodies for a route of requests that run at most once.
func newBodyFront(t *testing.T) *silenceFront {
	f := newSilenceFront(t, 1, func(r *direct.Route) { r.Kind = direct.AtMostOnce }, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	config := f.feeds.Config.Table().Config
	config.Version, config.Limits.BodyBytes = 2, 1<<20
	f.feeds.Config.Offer(&config, "test")
	return f
}

// stopAtEndBody is the body of a request whose work the router stops when the body has been read, before its
// handler looks at it.
type stopAtEndBody struct {
	io.ReadCloser
	f *front
	r *http.Request
}

// Read implements io.Reader.
func (b *stopAtEndBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		now := b.f.core.Now()
		b.f.stopping.begin(now, now)
		b.f.stopping.stopLate(now, now)
		select {
		case <-b.r.Context().Done(): // net/http takes the end of the read deadline for a caller that has left
		case <-time.After(time.Second):
		}
	}
	return n, err
}

// TestStopAtEndOfBodyIsAnswered guards against requests that are closed without a response: the router stops the
// work on one whose body has just arrived, and the read deadline that ends the read of the body looks like a
// caller that leaves.
func TestStopAtEndOfBodyIsAnswered(t *testing.T) {
	f := newBodyFront(t)
	callers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = &stopAtEndBody{r.Body, f.front, r}
		f.ServeHTTP(w, r)
	}))
	defer callers.Close()
	for range 20 { // with one, the handler may look at the machine's command first
		f.stopping.begin(time.Hour, time.Hour)
		r, err := http.NewRequest(http.MethodPost, callers.URL+"/x", strings.NewReader("body"))
		require.NoError(t, err)
		r.Host = "h"
		r.Header.Set("X-Id", "a")
		resp, err := http.DefaultTransport.RoundTrip(r)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, reasonDraining+"\n", string(body))
	}
	require.Zero(t, f.servers[0].requests.Load(), "the response says that the request has not run")
}

// TestStopAmidBodyIsRefusedAsDraining guards against requests whose callers are told that they were late, though the
// router has stopped reading their bodies, and against responses that are lost since the rest of a body is unread.
func TestStopAmidBodyIsRefusedAsDraining(t *testing.T) {
	f := newBodyFront(t)
	conn, err := net.Dial("tcp", f.callers.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	const size = 256 << 10
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size/2))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		f.stopping.mu.Lock()
		defer f.stopping.mu.Unlock()
		return len(f.stopping.exchanges) == 1
	}, 10*time.Second, time.Millisecond)
	now := f.core.Now()
	f.stopping.begin(now, now)
	f.stopping.stopLate(now, now)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, reasonDraining+"\n", string(body))
	_, err = conn.Write([]byte(strings.Repeat("x", size/2)))
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the rest of the body is read before the connection ends")
}

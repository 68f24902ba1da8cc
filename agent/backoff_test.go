package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/tomlfile"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// newTestProxy returns a proxy that calls the given backend server, and the channel
// of the events that it sends to its core.
func newTestProxy(t *testing.T, backend http.HandlerFunc) (*proxy, chan event) {
	backendServer := httptest.NewServer(backend)
	t.Cleanup(backendServer.Close)
	events := make(chan event, 100)
	p := newProxy(&core{events: events}, &log.Logger{Level: log.PanicLevel})
	address := tomlfile.Address{AddrPort: netip.MustParseAddrPort(strings.TrimPrefix(backendServer.URL, "http://"))}
	p.target.Store(&target{server: bundle.Server{Address: address, Probe: "/health"}})
	ctx, stop := context.WithCancel(context.Background())
	probing := make(chan struct{})
	go func() {
		defer close(probing)
		p.runProbes(ctx)
	}()
	t.Cleanup(func() { stop(); <-probing })
	require.Equal(t, healthEvent{true}, <-events)
	return p, events
}

func (p *proxy) send() {
	p.forward(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x", nil), p.target.Load())
}

// TestBackendAsksForNothing has a backend server reject a request with a Retry-After
// time. During that time, the agent must accept no requests, and neither requests nor
// probes may reach the server. Afterwards, the agent must accept requests again.
func TestBackendAsksForNothing(t *testing.T) {
	const backoff = 400 * time.Millisecond
	var refusedAt atomic.Int64 // time of the rejection in Unix nanoseconds
	earlyPaths := make(chan string, 100)
	p, events := newTestProxy(t, func(w http.ResponseWriter, r *http.Request) {
		if at := refusedAt.Load(); at != 0 && time.Since(time.Unix(0, at)) < backoff {
			earlyPaths <- r.URL.Path
		}
		if r.URL.Path == "/health" {
			return
		}
		w.Header().Set("Retry-After", "0.4")
		w.WriteHeader(http.StatusServiceUnavailable)
		refusedAt.Store(time.Now().UnixNano())
	})
	p.send()
	require.Equal(t, healthEvent{false}, <-events)
	require.ErrorIs(t, p.ready(), ErrServerBusy)
	require.Equal(t, healthEvent{true}, <-events)
	require.GreaterOrEqual(t, time.Since(time.Unix(0, refusedAt.Load())), backoff)
	require.NoError(t, p.ready())
	require.Empty(t, earlyPaths)
}

// TestProbeStartedBeforeBackoff checks that a successful probe does not end a backoff
// early if the probe started before the backend server asked for the backoff.
func TestProbeStartedBeforeBackoff(t *testing.T) {
	h := health{}
	now := time.Now()
	require.True(t, h.recordProbe(true))
	require.True(t, h.setBackoff(now.Add(time.Hour)))
	require.False(t, h.setBackoff(now.Add(time.Minute)), "the server is already down")
	require.False(t, h.recordProbe(true))
	require.Greater(t, h.remainingBackoff(), time.Minute, "the longer backoff applies")
}

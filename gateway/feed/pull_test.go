package feed

import (
	"net/http/httptest"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// farPeers are routers of other halls.
type farPeers struct{ Peers }

func (farPeers) PathTo(string) traffic.Path { return traffic.BetweenHalls }

// TestEachFeedIsPulled has a router that knows nothing pull each feed from one that knows
// it: then it can serve, and the bytes count as the feed's own traffic.
func TestEachFeedIsPulled(t *testing.T) {
	knows := newTestSet()
	knows.Config.Offer(&direct.Config{Version: 3}, fromSource)
	knows.Servers.OfferAll(&direct.Directory{Revision: 9, Servers: []direct.Server{{ID: "i-1"}}}, fromSource)
	knows.Evacuations.Offer(&direct.Evacuations{Revision: 11, Halls: []string{"b"}}, fromSource)
	server := httptest.NewServer(knows.Handler())
	defer server.Close()
	pulls, counter := newTestSet(), traffic.NewCounter(tally.NoopScope)
	p, err := NewPuller(pulls, PullOptions{Control: "127.0.0.1:1", Peers: farPeers{}, Traffic: counter})
	require.NoError(t, err)
	for i, f := range pulls.feeds {
		require.False(t, pulls.Complete())
		require.NoError(t, p.pull(t.Context(), i, server.Listener.Addr().String()), f.About().Name)
		require.Positive(t, counter.Sums()[f.About().Name].BetweenHalls, f.About().Name)
	}
	require.Equal(t, Versions{3, 9, 11}, pulls.Versions())
	require.True(t, pulls.Complete())
	require.Equal(t, []string{"b"}, pulls.Evacuations.Newest().Halls)
	require.Equal(t, "i-1", pulls.Servers.Newest().Servers[0].ID)
}

package feed

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/quarantine"
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
	knows.Quarantine.Offer(&Listing[quarantine.Fingerprint]{Revision: 13, All: []quarantine.Fingerprint{7}}, fromSource)
	server := httptest.NewServer(knows.Handler())
	defer server.Close()
	pulls, counter := newTestSet(), traffic.NewCounter(tally.NoopScope)
	p, err := NewPuller(pulls, PullOptions{Control: "127.0.0.1:1", Peers: farPeers{}, Traffic: counter})
	require.NoError(t, err)
	for i, f := range pulls.feeds {
		require.Equal(t, f.About().Optional, pulls.Complete(), "complete without "+f.About().Name)
		require.NoError(t, p.pull(t.Context(), i, server.Listener.Addr().String()), f.About().Name)
		require.Positive(t, counter.Sums()[f.About().Name].BetweenHalls, f.About().Name)
	}
	require.Equal(t, Revisions{3, 9, 11, 13}, pulls.Revisions())
	require.True(t, pulls.Complete())
	require.Equal(t, []string{"b"}, pulls.Evacuations.Newest().Halls)
	require.Equal(t, []quarantine.Fingerprint{7}, pulls.Quarantine.Newest().All)
	require.Equal(t, "i-1", pulls.Servers.Newest().Servers[0].ID)
}

// TestPullsOnTheWire has a router ask another for each feed: only for the list of servers
// does it say what it knows.
func TestPullsOnTheWire(t *testing.T) {
	var asked []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.RequestURI)
		http.Error(w, "nothing yet", http.StatusServiceUnavailable)
	}))
	defer server.Close()
	set := newTestSet()
	set.Config.Offer(&direct.Config{Version: 3}, fromSource)
	set.Servers.OfferAll(&direct.Directory{Revision: 9}, fromSource)
	p, err := NewPuller(set, PullOptions{Control: "127.0.0.1:1", Peers: farPeers{}, Traffic: traffic.NewCounter(tally.NoopScope)})
	require.NoError(t, err)
	for i := range set.feeds {
		require.Error(t, p.pull(t.Context(), i, server.Listener.Addr().String()))
	}
	require.Equal(t, []string{"/v1/config", "/v1/servers?since=9", "/v1/evacuations", "/v1/quarantine"}, asked)
}

// TestWhatIsFollowed has a fleet whose halls are never evacuated follow no
// evacuations, and serve without knowing of them and of what is quarantined.
func TestWhatIsFollowed(t *testing.T) {
	names := func(s *Set) (out []string) {
		for _, f := range s.Followed() {
			out = append(out, f.About().Name)
		}
		return out
	}
	set := newTestSet()
	require.Equal(t, []string{"config", "servers", "evacuations", "quarantine"}, names(set))
	set = NewSet(Options{Decisions: set.Config.o.Decisions, Log: quietLog})
	require.Equal(t, []string{"config", "servers", "quarantine"}, names(set))
	set.Servers.OfferAll(&direct.Directory{Revision: 9}, fromSource)
	require.False(t, set.Complete())
	set.Config.Offer(&direct.Config{Version: 3}, fromSource)
	require.True(t, set.Complete())
}

// placedPeers are routers of which each has been heard.
type placedPeers struct {
	Peers
	paths map[string]traffic.Path
}

func (p placedPeers) PathTo(address string) traffic.Path { return p.paths[address] }

// TestNearestSeedsFirst has seeds in the router's hall, its region and another one, and the
// router itself among them: it asks the nearest first.
func TestNearestSeedsFirst(t *testing.T) {
	peers := placedPeers{paths: map[string]traffic.Path{"far": traffic.BetweenRegions, "near": traffic.BetweenHalls, "next": traffic.WithinHall}}
	for _, self := range []string{"a", "b", "c", "d"} {
		p, err := NewPuller(newTestSet(), PullOptions{
			Address: self, Control: "127.0.0.1:1", Peers: peers, Traffic: traffic.NewCounter(tally.NoopScope),
			Seeds: []string{"far:1", "near:1", self + ":1", "no port", "next:1"},
		})
		require.NoError(t, err)
		require.Equal(t, []string{"next:1", "near:1", "far:1"}, p.seedOrder(), self)
	}
}

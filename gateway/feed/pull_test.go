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

// otherHallPeers treats all routers as members of other halls.
type otherHallPeers struct{ Peers }

func (otherHallPeers) PathTo(string) traffic.Path { return traffic.BetweenHalls }

// TestEachFeedIsPulled has a router without content pull each feed from another one. It is complete
// afterwards, and the bytes count as traffic of the feed's own kind.
func TestEachFeedIsPulled(t *testing.T) {
	sender := newTestSet()
	sender.Config.Offer(&direct.Config{Version: 3}, fromSource)
	sender.Servers.OfferAll(&direct.Directory{Revision: 9, Servers: []direct.Server{{ID: "i-1"}}}, fromSource)
	sender.Evacuations.Offer(&direct.Evacuations{Revision: 11, Halls: []string{"b"}}, fromSource)
	sender.Quarantine.Offer(&Listing[quarantine.Fingerprint]{Revision: 13, All: []quarantine.Fingerprint{7}}, fromSource)
	sender.QuarantinedParts.Offer(&Listing[quarantine.Fingerprint]{Revision: 15, All: []quarantine.Fingerprint{8}}, fromSource)
	server := httptest.NewServer(sender.Handler())
	defer server.Close()
	receiver, counter := newTestSet(), traffic.NewCounter(tally.NoopScope)
	p, err := NewPuller(receiver, PullOptions{ControlAddress: "127.0.0.1:1", Peers: otherHallPeers{}, Traffic: counter})
	require.NoError(t, err)
	for i, f := range receiver.feeds {
		require.Equal(t, f.Spec().Optional, receiver.Complete(), "complete without "+f.Spec().Name)
		require.NoError(t, p.pull(t.Context(), i, server.Listener.Addr().String()), f.Spec().Name)
		require.Positive(t, counter.Sums()[f.Spec().Name].BetweenHalls, f.Spec().Name)
	}
	require.Equal(t, Revisions{3, 9, 11, 13, 15}, receiver.Revisions())
	require.True(t, receiver.Complete())
	require.Equal(t, []string{"b"}, receiver.Evacuations.Newest().Halls)
	require.Equal(t, []quarantine.Fingerprint{7}, receiver.Quarantine.Newest().All)
	require.Equal(t, []quarantine.Fingerprint{8}, receiver.QuarantinedParts.Newest().All)
	require.Equal(t, "i-1", receiver.Servers.Newest().Servers[0].ID)
}

// TestPullRequests checks the request URI of each feed's pull. Only the request for the list of servers
// carries the revision of the caller.
func TestPullRequests(t *testing.T) {
	var requestURIs []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestURIs = append(requestURIs, r.RequestURI)
		http.Error(w, "nothing yet", http.StatusServiceUnavailable)
	}))
	defer server.Close()
	set := newTestSet()
	set.Config.Offer(&direct.Config{Version: 3}, fromSource)
	set.Servers.OfferAll(&direct.Directory{Revision: 9}, fromSource)
	p, err := NewPuller(set, PullOptions{ControlAddress: "127.0.0.1:1", Peers: otherHallPeers{}, Traffic: traffic.NewCounter(tally.NoopScope)})
	require.NoError(t, err)
	for i := range set.feeds {
		require.Error(t, p.pull(t.Context(), i, server.Listener.Addr().String()))
	}
	require.Equal(t, []string{"/v1/config", "/v1/servers?since=9", "/v1/evacuations", "/v1/quarantine", "/v1/quarantine_parts"}, requestURIs)
}

// TestFollowedFeeds checks that a router does not follow evacuations if halls are never evacuated,
// and that it is complete without evacuations and without the quarantine.
func TestFollowedFeeds(t *testing.T) {
	feedNames := func(s *Set) (out []string) {
		for _, f := range s.Followed() {
			out = append(out, f.Spec().Name)
		}
		return out
	}
	set := newTestSet()
	require.Equal(t, []string{"config", "servers", "evacuations", "quarantine", "quarantine_parts"}, feedNames(set))
	set = NewSet(Options{StateMachine: set.Config.o.StateMachine, Log: discardLog})
	require.Equal(t, []string{"config", "servers", "quarantine", "quarantine_parts"}, feedNames(set))
	set.Servers.OfferAll(&direct.Directory{Revision: 9}, fromSource)
	require.False(t, set.Complete())
	set.Config.Offer(&direct.Config{Version: 3}, fromSource)
	require.True(t, set.Complete())
}

// peersWithPaths are routers with known paths.
type peersWithPaths struct {
	Peers
	paths map[string]traffic.Path
}

func (p peersWithPaths) PathTo(address string) traffic.Path { return p.paths[address] }

// TestNearestSeedsFirst orders seeds in the router's hall, its region and another region, among them
// the router itself and an address without a port. The nearest seed comes first.
func TestNearestSeedsFirst(t *testing.T) {
	peers := peersWithPaths{paths: map[string]traffic.Path{"far": traffic.BetweenRegions, "near": traffic.BetweenHalls, "next": traffic.WithinHall}}
	for _, self := range []string{"a", "b", "c", "d"} {
		p, err := NewPuller(newTestSet(), PullOptions{
			Address: self, ControlAddress: "127.0.0.1:1", Peers: peers, Traffic: traffic.NewCounter(tally.NoopScope),
			Seeds: []string{"far:1", "near:1", self + ":1", "no port", "next:1"},
		})
		require.NoError(t, err)
		require.Equal(t, []string{"next:1", "near:1", "far:1"}, p.seedOrder(), self)
	}
}

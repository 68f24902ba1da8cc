package cluster

import (
	"testing"

	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/stretchr/testify/require"
)

// TestQuietHalls stops the heartbeats of no hall, of one hall, and of all halls. Only the one hall
// may count as silent.
func TestQuietHalls(t *testing.T) {
	p := newTestPeers("a1", &peer{address: "a2", place: traffic.Place{Hall: "a"}}, &peer{address: "b1", place: traffic.Place{Hall: "b"}}, &peer{address: "b2", place: traffic.Place{Hall: "b"}}, &peer{address: "c1", place: traffic.Place{Hall: "c"}})
	now := p.deps.StateMachine.Now()
	require.Empty(t, p.silentHalls(now))
	p.known["b1"].lastHeard = now - 2*silentAfter
	require.Empty(t, p.silentHalls(now), "another router of the hall sends heartbeats")
	p.known["b2"].lastHeard = now - 2*silentAfter
	require.Equal(t, []string{"b"}, p.silentHalls(now))
	for _, one := range p.known {
		one.lastHeard = now - 2*silentAfter
	}
	require.Empty(t, p.silentHalls(now), "without any heartbeat, no single hall counts as silent")
	p.known["b1"].live, p.known["b2"].live = false, false
	p.known["c1"].lastHeard = now
	require.NotContains(t, p.silentHalls(now), "b", "routers that are no longer live do not count")
}

// TestOwnHallIsAskedFirst has newer revisions in another hall, and then in this hall too. The
// router of this hall must come first.
func TestOwnHallIsAskedFirst(t *testing.T) {
	p := newTestPeers("a2", &peer{address: "a1", place: traffic.Place{Hall: "a"}}, &peer{address: "b1", place: traffic.Place{Hall: "b"}}, &peer{address: "c1", place: traffic.Place{Hall: "c"}})
	p.place.Hall = "a"
	require.False(t, p.FirstOfHall())
	require.Equal(t, make(feed.PeersAheadByFeed, 5), p.Ahead())
	p.known["b1"].revisions = feed.Revisions{3}
	require.Equal(t, feed.PeersAheadByFeed{{OtherHalls: []string{"b1"}}, {}, {}, {}, {}}, p.Ahead())
	require.True(t, p.Ahead()[0].OnlyInOtherHalls())
	p.known["a1"].revisions = feed.Revisions{3}
	require.Equal(t, feed.PeersAheadByFeed{{OwnHall: []string{"a1"}, OtherHalls: []string{"b1"}}, {}, {}, {}, {}}, p.Ahead())
	require.False(t, p.Ahead()[0].OnlyInOtherHalls())
	require.Equal(t, []string{"a1", "b1"}, p.Ahead()[0].All())
	p.known["a1"].live = false
	require.True(t, p.FirstOfHall(), "the first is not live")
}

// TestOwnRegionBeforeOthers has a newer revision at each distance. The nearest router must come
// first, and a hall of unknown region counts as one of another region.
func TestOwnRegionBeforeOthers(t *testing.T) {
	at := func(address, hall, region string) *peer {
		return &peer{address: address, place: traffic.Place{Hall: hall, Region: region}, revisions: feed.Revisions{3}}
	}
	p := newTestPeers("n1", at("m1", "e", "south"), at("n2", "a", "north"), at("n3", "b", "north"))
	p.place = traffic.Place{Hall: "a", Region: "north"}
	require.Equal(t, []string{"n2", "n3", "m1"}, p.Ahead()[0].All())
	require.Equal(t, traffic.BetweenRegions, p.PathTo("m1"))
	require.Equal(t, traffic.BetweenHalls, p.PathTo("n3"))
	require.Equal(t, traffic.BetweenHalls, p.PathTo("never heard"))
	p = newTestPeers("n1", at("m1", "e", ""))
	p.place = traffic.Place{Hall: "a", Region: "north"}
	require.True(t, p.Ahead()[0].OnlyInOtherHalls())
	require.Equal(t, traffic.BetweenRegions, p.PathTo("m1"))
}

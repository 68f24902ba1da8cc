package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// fullHeartbeat returns a heartbeat of a large fleet in which all numbers are long.
func fullHeartbeat(members int) heartbeat {
	b := heartbeat{
		Address: "10.101.200.133", Hall: "hall-1", Region: "region-1", Power: 0.3, Shed: 0.25, Life: 1 << 60, Seq: 1 << 30,
		Knows: feed.Revisions{1 << 30, 1 << 30, 1 << 30, 1 << 30, 1 << 30}, Headroom: 1.5,
	}
	for i := range members {
		b.Members = append(b.Members, fmt.Sprintf("10.101.200.%d", 100+i))
	}
	return b
}

// TestHeartbeatsAreFewBytes bounds the bytes of heartbeats that a router sends per second: at most
// a hundred heartbeats, few of which name members.
func TestHeartbeatsAreFewBytes(t *testing.T) {
	plain, err := encode(fullHeartbeat(0))
	require.NoError(t, err)
	named, err := encode(fullHeartbeat(membersPerHeartbeat))
	require.NoError(t, err)
	mean := (len(plain)*(membersEveryRounds-1) + len(named)) / membersEveryRounds
	t.Logf("%d B, with members %d B, mean %d B", len(plain), len(named), mean)
	require.LessOrEqual(t, len(plain), 120)
	for _, known := range []int{23, 28, 299, 669} {
		p := newTestPeers("10.0.0.1")
		for i := range known {
			p.known[fmt.Sprint(i)] = &peer{}
		}
		perSecond := float64(min(known, heartbeatFanout)) * float64(time.Second) / float64(p.heartbeatInterval()) * float64(mean)
		t.Logf("%d routers: %.1f kB/s", known+1, perSecond/1e3)
		require.LessOrEqual(t, perSecond, 15e3)
	}
}

// TestMembersMostlyStayInTheirRegion checks that a heartbeat names members to routers of the own
// region and to those without a heartbeat so far, but rarely to routers of other regions.
func TestMembersMostlyStayInTheirRegion(t *testing.T) {
	at := func(address, region string) *peer {
		return &peer{address: address, place: traffic.Place{Hall: region, Region: region}}
	}
	p := newTestPeers("127.0.0.1", at("127.0.0.2", "north"), at("127.0.0.3", "south"))
	p.place = traffic.Place{Hall: "north", Region: "north"}
	p.onLive = func([]loads.Router) {}
	p.Add("127.0.0.4")
	p.deps.Log, p.deps.Stats, p.deps.Traffic = quietLog, stats.New(tally.NoopScope), traffic.NewCounter(tally.NoopScope)
	udp, err := openTransport("127.0.0.1:0", traffic.Heartbeats, p.deps)
	require.NoError(t, err)
	defer udp.conn.Close()
	h := newHeartbeats(Settings{}, udp, p, p.deps)
	h.rounds = membersEveryRounds
	h.sendRound()
	sent := p.deps.Traffic.Sums()["heartbeats"]
	require.Equal(t, sent.WithinHall, sent.BetweenHalls)
	require.Positive(t, sent.BetweenRegions)
	require.Equal(t, sent.BetweenRegions+int64(2*(1+len("127.0.0.2"))), sent.WithinHall)
	h.rounds = farMembersEveryRounds
	h.sendRound()
	now := p.deps.Traffic.Sums()["heartbeats"]
	require.Equal(t, now.WithinHall-sent.WithinHall, now.BetweenRegions-sent.BetweenRegions)
}

// TestOtherRegionsReceiveGraveSuspects reports fingerprints under which one or two servers crashed.
// Other regions must receive only those under which two did.
func TestOtherRegionsReceiveGraveSuspects(t *testing.T) {
	all := []quarantine.Report{{Content: 1}, {Content: 2, Grave: true}, {Content: 3}}
	require.Equal(t, []quarantine.Report{{Content: 2, Grave: true}}, graveReports(all))
	require.Len(t, all, 3)
	require.EqualValues(t, 1, all[0].Content, "other routers of this region receive all reports")
}

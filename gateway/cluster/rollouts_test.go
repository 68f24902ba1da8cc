package cluster

import (
	"testing"

	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestRolloutLeader checks that the first router by address leads among those that are live and
// reach the source, and that one that has just started does not.
func TestRolloutLeader(t *testing.T) {
	others := func() []*peer { return []*peer{{address: "a"}, {address: "b"}, {address: "d"}} }
	p := newTestPeers("c", others()...)
	require.Equal(t, 4, p.Routers())
	require.False(t, p.Leads())
	p.known["a"].live = false
	require.Equal(t, 3, p.Routers())
	require.False(t, p.Leads(), "b is live")
	p.known["b"].sourceLost = true
	require.True(t, p.Leads())
	p.deps.StateMachine = newTestMachine()
	require.False(t, p.Leads(), "it has just started")
	require.True(t, newTestPeers("a", &peer{address: "b"}).Leads())
}

// TestRolloutLeaderCutOff checks that a router does not lead if it receives heartbeats from fewer
// than half of the routers: it does not learn which requests the others send to old servers.
func TestRolloutLeaderCutOff(t *testing.T) {
	p := newTestPeers("a", &peer{address: "b"}, &peer{address: "c"}, &peer{address: "d"})
	p.known["b"].live, p.known["c"].live = false, false
	require.True(t, p.Leads(), "two of four")
	p.known["d"].live = false
	require.False(t, p.Leads(), "one of four")
	for _, one := range p.known {
		one.lastHeard = 0
	}
	require.True(t, p.Leads(), "no heartbeat of the others has arrived")
}

// TestRolloutLeaderRestarts checks that the next router leads after the first has restarted, until
// the first can lead again.
func TestRolloutLeaderRestarts(t *testing.T) {
	p := newTestPeers("b", &peer{address: "a", startNanos: 1})
	p.deps.Stats = stats.New(tally.NoopScope)
	require.False(t, p.Leads())
	p.onHeartbeat(heartbeat{Address: "a", Life: 2, Seq: 1})
	require.True(t, p.Leads())
	p.known["a"].restartedAt -= warmUpTime
	p.onHeartbeat(heartbeat{Address: "a", Life: 2, Seq: 2})
	require.False(t, p.Leads())
}

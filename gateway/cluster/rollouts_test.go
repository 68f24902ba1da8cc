package cluster

import (
	"testing"

	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestRolloutLeader has the first router by address lead that is there and reaches the
// source, and one that has just started not at all.
func TestRolloutLeader(t *testing.T) {
	others := func() []*peer { return []*peer{{address: "a"}, {address: "b"}, {address: "d"}} }
	p := newTestPeers("c", others()...)
	require.Equal(t, 4, p.Routers())
	require.False(t, p.Leads())
	p.known["a"].live = false
	require.Equal(t, 3, p.Routers())
	require.False(t, p.Leads(), "b is there")
	p.known["b"].sourceLost = true
	require.True(t, p.Leads())
	p.deps.Decisions = newTestMachine()
	require.False(t, p.Leads(), "it has just started")
	require.True(t, newTestPeers("a", &peer{address: "b"}).Leads())
}

// TestRolloutLeaderCutOff has no router lead that hears less than half of those that were
// there lately: it can't know what the others send to old servers.
func TestRolloutLeaderCutOff(t *testing.T) {
	p := newTestPeers("a", &peer{address: "b"}, &peer{address: "c"}, &peer{address: "d"})
	p.known["b"].live, p.known["c"].live = false, false
	require.True(t, p.Leads(), "two of four")
	p.known["d"].live = false
	require.False(t, p.Leads(), "one of four")
	for _, one := range p.known {
		one.lastHeard = 0
	}
	require.True(t, p.Leads(), "the others are only listed")
}

// TestRolloutLeaderRestarts has the next router go on leading where the first was started
// again, until that one can lead.
func TestRolloutLeaderRestarts(t *testing.T) {
	p := newTestPeers("b", &peer{address: "a", startNanos: 1})
	p.deps.Stats = stats.New(tally.NoopScope)
	require.False(t, p.Leads())
	p.onHeartbeat(heartbeat{Address: "a", Life: 2, Seq: 1})
	require.True(t, p.Leads())
	p.known["a"].restartedAt -= settleTime
	p.onHeartbeat(heartbeat{Address: "a", Life: 2, Seq: 2})
	require.False(t, p.Leads())
}

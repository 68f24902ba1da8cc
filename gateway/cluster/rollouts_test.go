package cluster

import (
	"testing"

	"github.com/stretchr/testify/require"
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
	p.parts.Decisions = newTestMachine()
	require.False(t, p.Leads(), "it has just started")
	require.True(t, newTestPeers("a", &peer{address: "b"}).Leads())
}

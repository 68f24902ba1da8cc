package cluster

import (
	"fmt"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/stretchr/testify/require"
)

// TestFewFollowTheSource checks that only the first routers that reach the source follow it, and
// one more in a large fleet.
func TestFewFollowTheSource(t *testing.T) {
	for _, fleet := range []struct{ routers, follow int }{{1, 1}, {3, 3}, {5, 3}, {9, 4}, {60, 4}} {
		follow := 0
		for i := range fleet.routers {
			var others []*peer
			for j := range fleet.routers {
				if j != i {
					others = append(others, &peer{address: fmt.Sprintf("10.0.0.%03d", j)})
				}
			}
			if newTestPeers(fmt.Sprintf("10.0.0.%03d", i), others...).Follows() {
				follow++
			}
		}
		require.Equal(t, fleet.follow, follow, "of %d", fleet.routers)
	}
}

// TestOthersTakeOver checks that a router follows the source if a router before it has lost the
// source or is not live, or if it stays behind another router.
func TestOthersTakeOver(t *testing.T) {
	before := func() []*peer {
		return []*peer{{address: "a"}, {address: "b"}, {address: "c"}}
	}
	p := newTestPeers("d", before()...)
	require.False(t, p.Follows())
	p.known["b"].sourceLost = true
	require.True(t, p.Follows(), "one has lost the source")
	p = newTestPeers("d", before()...)
	p.known["a"].live = false
	require.True(t, p.Follows(), "one is not live")
	p = newTestPeers("d", before()...)
	p.known["c"].revisions = feed.Revisions{0, 9, 0}
	require.False(t, p.Follows(), "it may still pull")
	p.behindSince -= 2 * stuckAfter
	require.True(t, p.Follows(), "it has been behind for too long")
}

// TestChangesAreNotStuck changes the servers all the time. A router that receives each change a
// little later than others is not stuck and must not call the source; otherwise all routers of a
// starting fleet would.
func TestChangesAreNotStuck(t *testing.T) {
	p := newTestPeers("d", &peer{address: "a"}, &peer{address: "b"}, &peer{address: "c"})
	for revision := uint64(1); revision < 20; revision++ {
		p.known["a"].revisions = feed.Revisions{0, revision + 1, 0}
		p.deps.Feeds.Servers.OfferAll(&direct.Directory{Revision: revision}, "a")
		require.False(t, p.Follows(), "at revision %d", revision)
		p.behindSince -= stuckAfter / 3
	}
	p.behindSince -= 2 * stuckAfter
	require.True(t, p.Follows(), "it receives no more changes")
}

package feed

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRevisionsAcrossReleases compares revisions of routers whose releases have different numbers of
// feeds. A router is behind only in feeds that both have.
func TestRevisionsAcrossReleases(t *testing.T) {
	older, newer := Revisions{3, 9}, Revisions{3, 9, 4}
	require.True(t, older.AtLeast(newer), "a feed that only the newer release has is ignored")
	require.True(t, newer.AtLeast(older))
	require.False(t, older.AtLeast(Revisions{3, 10, 4}))
	require.Equal(t, newer, older.Max(newer))
	require.Equal(t, Revisions{3, 9, 4}, newer.Max(older))
	ahead := NewPeersAheadByFeed(older)
	ahead.Add(older, "a", 0, newer)
	require.Equal(t, PeersAheadByFeed{{}, {}}, ahead)
}

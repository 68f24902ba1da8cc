package feed

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRevisionsAcrossReleases has routers of releases with more and with fewer feeds compare what
// they know: only of feeds that both have can one be behind.
func TestRevisionsAcrossReleases(t *testing.T) {
	older, newer := Revisions{3, 9}, Revisions{3, 9, 4}
	require.True(t, older.AtLeast(newer), "it can't take in what it does not know")
	require.True(t, newer.AtLeast(older))
	require.False(t, older.AtLeast(Revisions{3, 10, 4}))
	require.Equal(t, newer, older.Max(newer))
	require.Equal(t, Revisions{3, 9, 4}, newer.Max(older))
	ahead := NewPeersAheadByFeed(older)
	ahead.Add(older, "a", 0, newer)
	require.Equal(t, PeersAheadByFeed{{}, {}}, ahead)
}

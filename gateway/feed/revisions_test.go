package feed

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOtherReleases has routers of releases with more and with fewer feeds compare what
// they know: only of feeds that both have can one be behind.
func TestOtherReleases(t *testing.T) {
	older, newer := Revisions{3, 9}, Revisions{3, 9, 4}
	require.True(t, older.Reaches(newer), "it can't take in what it does not know")
	require.True(t, newer.Reaches(older))
	require.False(t, older.Reaches(Revisions{3, 10, 4}))
	require.Equal(t, newer, older.Newest(newer))
	require.Equal(t, Revisions{3, 9, 4}, newer.Newest(older))
	ahead := NewAheadByFeed(older)
	ahead.Add(older, "a", 0, newer)
	require.Equal(t, AheadByFeed{{}, {}}, ahead)
}

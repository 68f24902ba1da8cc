package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRendezvous checks that InRendezvous agrees with Rendezvous, and that removing
// a name changes only the results that contain it.
func TestRendezvous(t *testing.T) {
	var names []Name
	for i := range 20 {
		names = append(names, Name(fmt.Sprintf("router-%d", i)))
	}
	moved := 0
	for k := range 200 {
		key := fmt.Sprint("key", k)
		top := Rendezvous(key, names, 3)
		require.Len(t, top, 3)
		for _, n := range names {
			require.Equal(t, slices.Contains(top, n), InRendezvous(key, names, n, 3))
		}
		if !slices.Equal(top, Rendezvous(key, names[1:], 3)) {
			moved++
			require.Contains(t, top, names[0], "only results that contain the removed name may change")
		}
	}
	require.Positive(t, moved)
	require.Len(t, Rendezvous("k", names[:2], 3), 2)
}

// TestParseRoundTrip checks that parsing restores claim IDs and classes from their
// text, and rejects other text.
func TestParseRoundTrip(t *testing.T) {
	id := ClaimID{Agent: "engine-1", Incarnation: 7, Seq: 12}
	parsed, ok := ParseClaimID(id.String())
	require.True(t, ok)
	require.Equal(t, id, parsed)
	for _, bad := range []string{"", "a/b/c", "/1/2", "a/1", "a/1/2/3", "a/-1/2"} {
		_, ok := ParseClaimID(bad)
		require.False(t, ok, bad)
	}
	for c := range Class(Classes) {
		parsed, ok := ParseClass(c.String())
		require.True(t, ok)
		require.Equal(t, c, parsed)
	}
	_, ok = ParseClass("soon")
	require.False(t, ok)
}

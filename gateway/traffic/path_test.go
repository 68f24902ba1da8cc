package traffic

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestPaths counts bytes to places in the three tiers, and with regions that are not known.
func TestPaths(t *testing.T) {
	own := Place{Hall: "a", Region: "north"}
	meter := NewCounter(tally.NoopScope).Meter(Loads)
	for path, to := range []Place{{"a", "north"}, {"b", "north"}, {"c", "south"}} {
		require.Equal(t, Path(path), own.PathTo(to))
		meter.Add(own.PathTo(to), 10+path)
	}
	require.Equal(t, Sum{WithinHall: 10, BetweenHalls: 11, BetweenRegions: 12}, meter.sum())
	require.Equal(t, BetweenRegions, own.PathTo(Place{Hall: "d"}), "its region is not known")
	require.Equal(t, BetweenHalls, Place{Hall: "a"}.PathTo(Place{Hall: "d"}), "no region is known")
	require.Equal(t, "within_hall between_halls between_regions", WithinHall.String()+" "+BetweenHalls.String()+" "+BetweenRegions.String())
}

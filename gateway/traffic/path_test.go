package traffic

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestPaths counts bytes on each of the three paths, and checks paths with unknown regions.
func TestPaths(t *testing.T) {
	own := Place{Hall: "a", Region: "north"}
	meter := NewCounter(tally.NoopScope).Meter(Loads)
	for path, to := range []Place{{"a", "north"}, {"b", "north"}, {"c", "south"}} {
		require.Equal(t, Path(path), own.PathTo(to))
		meter.Add(own.PathTo(to), 10+path)
	}
	require.Equal(t, Sum{WithinHall: 10, BetweenHalls: 11, BetweenRegions: 12}, meter.sum())
	require.Equal(t, BetweenRegions, own.PathTo(Place{Hall: "d"}), "the region of the other place is unknown")
	require.Equal(t, BetweenHalls, Place{Hall: "a"}.PathTo(Place{Hall: "d"}), "both regions are unknown")
	require.Equal(t, "within_hall between_halls between_regions", WithinHall.String()+" "+BetweenHalls.String()+" "+BetweenRegions.String())
}

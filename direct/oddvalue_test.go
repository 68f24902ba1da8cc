package direct

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLowColdRateIsNoFreeRate guards against cold servers that get any number of requests, since the time between two
// overflows at a very low rate.
func TestLowColdRateIsNoFreeRate(t *testing.T) {
	for _, rate := range []float64{1e-12, 1e-300, math.SmallestNonzeroFloat64} {
		c := coldPacing{routers: 3, rank: 1}
		require.GreaterOrEqual(t, c.interval(ColdLimit{PerSecond: rate}), time.Hour, "%g", rate)
		require.GreaterOrEqual(t, c.firstDelay(ColdLimit{PerSecond: rate}, 0), time.Hour, "%g", rate)
	}
	require.Equal(t, 150*time.Millisecond, coldPacing{routers: 3}.interval(ColdLimit{PerSecond: 20}))
}

// TestLargeEnginesKeepParts guards against engines whose parts count as dropped at once, since their memory is so large
// that the time overflows.
func TestLargeEnginesKeepParts(t *testing.T) {
	p := &pool{engine: &Engine{KVTokens: math.MaxInt64}, admitted: make([]*server, 3)}
	p.updateCacheTTL(1e-3)
	require.Equal(t, maxCacheTTL, p.cacheTTL)
}

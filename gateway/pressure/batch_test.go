package pressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBatchDelayStaysWithinBound checks that streams are delayed only while the router lags, until
// times that all streams share, and never beyond batchDelayShare of the maximum delay.
func TestBatchDelayStaysWithinBound(t *testing.T) {
	require.Zero(t, BatchDelay(time.Second, batchMinLag-1, 200*time.Millisecond), "a router that keeps up does not batch")
	require.Zero(t, BatchDelay(time.Second, batchMinLag, 0), "unknown maximum delay")
	require.Zero(t, BatchDelay(time.Second, time.Second, 200*time.Millisecond), "lag above the maximum delay")
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "now"))
		lag := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "late"))
		maxDelay := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "longest"))
		wait := BatchDelay(now, lag, maxDelay)
		require.GreaterOrEqual(t, wait, time.Duration(0))
		if wait > 0 {
			require.LessOrEqual(t, float64(wait+lag), batchDelayShare*float64(maxDelay)+1)
			interval := time.Duration(batchDelayShare*float64(maxDelay)) - lag
			require.Zero(t, (now+wait)%interval, "streams wake together")
		}
	})
}

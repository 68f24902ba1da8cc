package servicetime

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNothingIsKnownAtFirst guards against requests that are refused for an estimate made from nothing, or from
// a request that failed at once.
func TestNothingIsKnownAtFirst(t *testing.T) {
	var e Estimate
	e.ObserveAtLeast(time.Millisecond)
	require.False(t, e.IsKnown())
	require.Zero(t, e.Typical())
	require.Zero(t, e.Longest())
}

// TestOneRequestIsNoSpread guards against requests that are refused since the first one counts as uncertain.
func TestOneRequestIsNoSpread(t *testing.T) {
	var e Estimate
	e.Observe(4 * time.Second)
	require.Equal(t, 4*time.Second, e.Typical())
	require.Equal(t, 4*time.Second, e.Longest())
}

// TestEstimateFollows guards against estimates that stay with what servers took before they slowed down.
func TestEstimateFollows(t *testing.T) {
	var e Estimate
	for range 50 {
		e.Observe(100 * time.Millisecond)
	}
	for range 50 {
		e.Observe(2 * time.Second)
	}
	require.InDelta(t, 2, e.Typical().Seconds(), 0.05)
}

// TestLongestIsHardlyExceeded guards against requests that are taken though they may well not end in time.
func TestLongestIsHardlyExceeded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var e Estimate
	exceeded := 0
	const requests = 10000
	for range requests {
		took := time.Duration((0.5 + random.Float64()) * float64(time.Second))
		if e.IsKnown() && took > e.Longest() {
			exceeded++
		}
		e.Observe(took)
	}
	require.Less(t, exceeded, requests/100)
}

// TestFailuresShortenNothing guards against estimates that fall because servers fail requests quickly.
func TestFailuresShortenNothing(t *testing.T) {
	var e Estimate
	e.Observe(time.Second)
	e.ObserveAtLeast(time.Millisecond)
	require.Equal(t, time.Second, e.Typical())
	e.ObserveAtLeast(9 * time.Second)
	require.Equal(t, 2*time.Second, e.Typical())
}

// TestStallIsNoServiceTime guards against requests that are refused since this process stalled: every request that
// was at a server is late then.
func TestStallIsNoServiceTime(t *testing.T) {
	const usual, stall = 300 * time.Millisecond, 450 * time.Millisecond
	var e Estimate
	require.Equal(t, usual+stall, e.WithoutStall(usual+stall, stall), "nothing else is known")
	for range 50 {
		e.Observe(usual)
	}
	for sentBefore := range 5 {
		e.Observe(e.WithoutStall(usual+stall-time.Duration(sentBefore)*60*time.Millisecond, stall))
	}
	require.InDelta(t, usual, e.Longest(), float64(time.Millisecond))
	require.Equal(t, 100*time.Millisecond, e.WithoutStall(100*time.Millisecond, stall), "it took less than the mean")
	e.Observe(e.WithoutStall(2*time.Second, stall))
	require.Greater(t, e.Longest(), 1500*time.Millisecond, "what the stall does not explain counts")
}

package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAges checks that retries are distinguished from first tries by their remaining time,
// separately for each route.
func TestAges(t *testing.T) {
	var e ageEstimator
	require.Zero(t, e.estimate(0, "reports", 15*time.Second))
	require.Zero(t, e.estimate(time.Second, "reports", 14900*time.Millisecond), "within the transit time")
	require.Equal(t, 1200*time.Millisecond, e.estimate(time.Second, "reports", 13800*time.Millisecond))
	require.Zero(t, e.estimate(time.Second, "tags", 2500*time.Millisecond))
	require.Equal(t, 500*time.Millisecond, e.estimate(time.Second, "tags", 2*time.Second))
	require.Zero(t, e.estimate(time.Second, "tags", 0), "no time limit given")
	require.Zero(t, e.estimate(time.Minute, "tags", 2*time.Second), "the longest time has expired")
	e.retainRoutes(func(route string) bool { return route == "reports" })
	require.Len(t, e.maxTimeLeft, 1)
}

// TestAgesOfUnevenCallers guards against first tries that count as retries, so that new
// requests do not go first. Callers of a route start with times that differ by up to 15 in
// 100, and retry when a third of their time is over. First tries must count as new, and
// retries as older by more than a second. Without an estimate of the spread, 859 of 1,000
// first tries counted as late.
func TestAgesOfUnevenCallers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	const longest = 12 * time.Second
	newTimeLeft := func() time.Duration { return time.Duration((1 - 0.15*rng.Float64()) * float64(longest)) }
	var e ageEstimator
	for range 300 {
		timeLeft := newTimeLeft()
		e.estimate(time.Second, "r", timeLeft)
		e.observeFirstTry("r", timeLeft)
	}
	overestimated, underestimated := 0, 0
	for range 1000 {
		timeLeft := newTimeLeft()
		if e.estimate(time.Second, "r", timeLeft) > 200*time.Millisecond {
			overestimated++
		}
		if e.estimate(time.Second, "r", timeLeft*2/3) < time.Second {
			underestimated++
		}
		if rng.IntN(25) == 0 {
			timeLeft = timeLeft * 2 / 3 // some retry although their team is within its share
		}
		e.observeFirstTry("r", timeLeft)
	}
	require.Less(t, overestimated, 50)
	require.Zero(t, underestimated)
	for range 1000 {
		e.observeFirstTry("r", newTimeLeft()*2/3)
	}
	require.LessOrEqual(t, e.spread, maxSpread, "even if most requests are retries")
}

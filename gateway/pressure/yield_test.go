package pressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestYields checks that a router yields after it has shed requests for yieldAfter, that a yield
// soon after the last one is twice as long, and that the router is ready after a yield if it no
// longer sheds.
func TestYields(t *testing.T) {
	hall := Hall{Routers: 6, Unloaded: 4}
	now := time.Second
	var y yielder
	shedFor := func(d time.Duration, fraction float64) (yielding time.Duration) {
		for end := now + d; now < end; now += 25 * time.Millisecond {
			if y.update(now, fraction, hall) {
				yielding += 25 * time.Millisecond
			}
		}
		return yielding
	}
	require.Zero(t, shedFor(time.Minute, yieldShedFraction/2))
	require.Zero(t, shedFor(yieldAfter, 0.9), "sheds too briefly")
	require.InDelta(t, minYieldTime.Seconds(), shedFor(minYieldTime, 0.9).Seconds(), 0.1)
	shedFor(time.Second, 0.9)
	require.InDelta(t, 2*minYieldTime.Seconds(), shedFor(40*time.Second, 0).Seconds(), 1.1)
	shedFor(yieldBackoffWindow, 0)
	require.InDelta(t, minYieldTime.Seconds(), shedFor(minYieldTime+time.Second, 0.9).Seconds(), 0.6)
}

// TestHalfStaysReady checks that at least half of the routers of a hall stay ready, however many of
// them are short of CPU time.
func TestHalfStaysReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := make([]yielder, rapid.IntRange(1, 9).Draw(t, "routers"))
		yields := make([]bool, len(routers))
		now := time.Second
		for range 400 {
			now += 25 * time.Millisecond
			for i := range routers {
				hall := Hall{Routers: len(routers) - 1, Unloaded: rapid.IntRange(0, 2).Draw(t, "easy")}
				for j, other := range yields {
					if other && j != i {
						hall.Yielding++
					}
				}
				yields[i] = routers[i].update(now, 0.9, hall)
			}
			ready := 0
			for _, y := range yields {
				if !y {
					ready++
				}
			}
			require.GreaterOrEqual(t, 2*ready, len(routers))
		}
	})
}

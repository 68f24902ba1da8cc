package pressure

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// shedCount returns how many of 1,000 requests of a team are refused on arrival.
func shedCount(p *Gauge, weight float64) int {
	n := 0
	for i := range 1000 {
		if p.Sheds(strconv.Itoa(i), weight) {
			n++
		}
	}
	return n
}

// TestPressureSpares checks that a router that is short of CPU time sheds the team that fills it. A
// small team whose callers all reach this router is still served.
func TestPressureSpares(t *testing.T) {
	var p Gauge
	require.Zero(t, shedCount(&p, 1), "a router that keeps up sheds nothing")
	for range 20 {
		p.Observe(0, overloadLag)
	}
	require.Greater(t, shedCount(&p, 1.1), 700)
	require.Less(t, shedCount(&p, 0.05), 60)
	for range 400 {
		p.Observe(0, 0)
	}
	require.Less(t, shedCount(&p, 1), 5, "shedding ends")
	require.False(t, p.Slow())
	require.Less(t, time.Duration(p.lag.Load()), keepsUpLag)
}

// TestShedSettles simulates a router whose lag follows from the load that it accepts. The shed
// fraction must settle where the lag is close to the target.
func TestShedSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offered := rapid.Float64Range(0.2, 8).Draw(t, "asked") // as a multiple of the router's capacity
		var s shedder
		queue, sum, n := 0.0, 0.0, 0
		for tick := range 2000 {
			queue = max(queue+(offered*(1-s.fraction)-1)*0.025, 0)
			s.update(time.Duration(queue * float64(time.Second)))
			if tick >= 1000 {
				sum, n = sum+queue, n+1
			}
		}
		require.Less(t, sum/float64(n), 2*shedTarget.Seconds(), "the lag stays above the target")
		if offered < 0.9 {
			require.Less(t, s.fraction, 0.01, "sheds while it keeps up")
		}
	})
}

// TestStuckRouterIsNotReady checks that a router whose ticks come once a second counts as
// overloaded at once, not after as many ticks as one that is only slightly late.
func TestStuckRouterIsNotReady(t *testing.T) {
	var p Gauge
	p.Observe(0, time.Second)
	require.True(t, p.WantsLessTraffic())
}

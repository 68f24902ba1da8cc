package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPressureSpares has a router without processor time refuse teams above
// their shares first: a small team whose callers all reach it is still served.
func TestPressureSpares(t *testing.T) {
	var p pressure
	shed := func(share float64) int {
		n := 0
		for i := range 1000 {
			if p.sheds(strconv.Itoa(i), share) {
				n++
			}
		}
		return n
	}
	require.Zero(t, shed(2), "a router that keeps up refuses nobody")
	p.note(lagFull)
	require.Equal(t, 1000, shed(1.2))
	require.Zero(t, shed(0.3))
	p.note(lagWithin * lagFull)
	require.Equal(t, 1000, shed(0.3))
	for range 100 {
		p.note(0)
	}
	require.Zero(t, shed(2), "pressure passes")
	require.False(t, p.slow())
	require.Less(t, time.Duration(p.lag.Load()), lagShed)
}

package pressure

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// TestStallsAddUp guards against time for which this process did not run that counts as that of a server: a
// response may be read before the tick that shows the stall.
func TestStallsAddUp(t *testing.T) {
	var s Stalls
	require.Zero(t, s.Total(time.Hour), "the process does not tick yet")
	now := time.Second
	s.Tick(now)
	for range 10 {
		now += direct.TickInterval
		s.Tick(now)
	}
	require.Zero(t, s.Total(now+direct.TickInterval))
	now += direct.TickInterval + 300*time.Millisecond
	require.Equal(t, 300*time.Millisecond, s.Total(now))
	s.Tick(now)
	require.Equal(t, 300*time.Millisecond, s.Total(now))
	now += direct.TickInterval + 200*time.Millisecond
	require.Equal(t, 500*time.Millisecond, s.Total(now))
	s.Tick(now)
	s.Tick(now + time.Millisecond) // a ticker catches up
	require.Equal(t, 500*time.Millisecond, s.Total(now+time.Millisecond))
}

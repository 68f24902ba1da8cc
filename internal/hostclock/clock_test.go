package hostclock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestSuspensionsCount suspends a host twice. The clock jumps by the length of a suspension once
// it is checked, and otherwise advances steadily. Small differences between the two clocks don't
// add up.
func TestSuspensionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		suspended, skew := time.Duration(0), time.Duration(0)
		c := newClock(func() (time.Duration, error) { return time.Hour + time.Since(start) + suspended + skew, nil })
		require.Zero(t, c.Now())
		time.Sleep(time.Second)
		require.Zero(t, c.CheckSuspension())
		suspended = 3 * time.Second
		require.Equal(t, time.Second, c.Now(), "not checked yet")
		require.Equal(t, 3*time.Second, c.CheckSuspension())
		require.Zero(t, c.CheckSuspension())
		require.Equal(t, 4*time.Second, c.Now())
		for range 100 {
			time.Sleep(time.Second)
			skew = minSuspension/2 - skew
			require.Zero(t, c.CheckSuspension())
		}
		suspended += time.Minute
		require.InDelta(t, float64(time.Minute), float64(c.CheckSuspension()), float64(minSuspension))
		require.InDelta(t, float64(164*time.Second), float64(c.Now()), float64(minSuspension))
	})
}

// TestWithoutBootClock checks that only the steady clock counts if the boot clock fails.
func TestWithoutBootClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failing := false
		c := newClock(func() (time.Duration, error) {
			if failing {
				return 0, errors.New("no such clock")
			}
			return time.Hour, nil
		})
		failing = true
		time.Sleep(time.Second)
		require.Zero(t, c.CheckSuspension())
		require.Equal(t, time.Second, c.Now())
		failing = false
		require.Zero(t, c.CheckSuspension(), "after a failure, the boot clock has no start value to compare with")
	})
}

// TestSystemClocks reads the clocks of the host that runs the test.
func TestSystemClocks(t *testing.T) {
	c := New()
	before := c.Now()
	require.Zero(t, c.CheckSuspension())
	require.GreaterOrEqual(t, c.Now(), before)
}

package pressure

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProbeCountsWhileItWaits checks that a wait that has not ended counts by its length so far.
// Otherwise a router whose goroutines wait for seconds would measure no lag until they run.
func TestProbeCountsWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		p := Probe{now: func() time.Duration { return time.Since(start) }}
		time.Sleep(time.Second)
		require.Zero(t, p.Lag())
		synctest.Wait()
		require.Zero(t, p.began.Load(), "the wait has ended")
		p.began.Store(int64(p.now()))
		time.Sleep(3 * time.Second)
		require.Equal(t, 3*time.Second, p.Lag(), "the wait has not ended")
	})
}

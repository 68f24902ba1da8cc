package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutKilledAnywhere restarts all routers of a rollout at a tick, for each tick in turn: the
// new ones continue from the store's state and end the rollout by the deadline.
func TestRolloutKilledAnywhere(t *testing.T) {
	t.Parallel()
	within := 20 * time.Second
	latestKill := newTimeline(within).rampAt - 3*time.Second
	for at := time.Duration(0); at < within; at += TickInterval {
		for _, bad := range []float64{0, 0.4} {
			s := newSimWithOrder(1, bad, within)
			s.run(at)
			s.restartAll()
			s.run(within - at)
			require.Empty(t, s.fault, "killed at %s", at)
			require.True(t, s.status().Final(), "killed at %s: %s", at, s.status())
			if bad > 0 {
				require.Equal(t, RolledBack, s.status(), "killed at %s", at)
			}
			if bad == 0 && at < latestKill {
				require.Equal(t, Completed, s.status(), "killed at %s", at)
			}
		}
	}
}

// TestRolloutLeaderKilledAnywhere removes the leader at a tick, for each tick in turn: the next
// leader continues, and a good version is always completed in time.
func TestRolloutLeaderKilledAnywhere(t *testing.T) {
	t.Parallel()
	within := 20 * time.Second
	for at := time.Duration(0); at < within-newTimeline(within).deadline/10; at += TickInterval {
		s := newSimWithOrder(1, 0, within)
		s.run(at)
		s.routers = s.routers[1:]
		s.run(within - at)
		require.Empty(t, s.fault, "killed at %s", at)
		require.Equal(t, Completed, s.status(), "killed at %s", at)
	}
}

package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newSimInLastStage returns a fleet of one router whose rollout has reached its last stage.
func newSimInLastStage() *sim {
	s := newSim(1, 1)
	s.run(time.Second)
	s.placeOrder(newVersion, "m1", simWithin)
	s.run(newTimeline(simWithin).stageAt(All))
	return s
}

// TestRolloutConfirmedWaitsForAll verifies that a confirmed rollout is not written as
// completed while a router with a current report is not in the last stage.
func TestRolloutConfirmedWaitsForAll(t *testing.T) {
	t.Parallel()
	s := newSimInLastStage()
	s.store.down = true
	s.run(minOldIdle + 2*TickInterval)
	m := s.routers[0].machine
	require.Equal(t, WaitStatus, m.Snapshots()[0].WaitsFor)
	require.False(t, writesCompleted(s, m, Half))
	require.True(t, writesCompleted(s, m, All))
	require.Less(t, s.now-s.orderAt, newTimeline(simWithin).rejectAt, "both writes must have been possible before the rejection")
}

// maxFailedWritePause bounds the retry delay after writes have failed for minOldIdle: each delay
// is twice the one before.
const maxFailedWritePause = minOldIdle

// writesCompleted reports whether a machine writes `completed` within maxFailedWritePause
// while another router applies the given stage.
func writesCompleted(s *sim, m *Machine, applied Stage) bool {
	other := m.Reports()[0]
	other.MinAppliedStage = applied
	for end := s.now + maxFailedWritePause; s.now < end; {
		s.now += TickInterval
		m.Update(PeerReportsMsg{Now: s.now, Reports: []Report{other}})
		for _, c := range m.Update(TickMsg{Now: s.now, Wall: s.wallTime(), Leads: true, Routers: 2}) {
			if w, is := c.(WriteCmd); is && w.Kind == WriteStatus && w.Status.State == Completed {
				return true
			}
		}
	}
	return false
}

// TestRolloutSettledNeedsAllRouters verifies that a rollout isn't confirmed early while a live
// router has not reported.
func TestRolloutSettledNeedsAllRouters(t *testing.T) {
	t.Parallel()
	s := newSimInLastStage()
	require.False(t, confirms(s, 2))
	require.True(t, confirms(s, 1))
}

// confirms reports whether a router confirms the rollout within 2*minOldIdle, given the number of
// live routers.
func confirms(s *sim, routers int) bool {
	m := s.routers[0].machine
	for end := s.now + 2*minOldIdle; s.now < end; {
		s.now += TickInterval
		m.Update(TickMsg{Now: s.now, Wall: s.wallTime(), Leads: true, Routers: routers})
		if m.Snapshots()[0].WaitsFor == WaitStatus {
			return true
		}
	}
	return false
}

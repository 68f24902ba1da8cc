package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// inLastStage returns a fleet of one router whose roll-out has come to its last stage.
func newSimInLastStage() *sim {
	s := newSim(1, 1)
	s.run(time.Second)
	s.placeOrder(newVersion, "m1", simWithin)
	s.run(newTimeline(simWithin).stageAt(All))
	return s
}

// TestRolloutConfirmedWaitsForAll shows that a roll-out which was found done is not
// written as completed while a router that is heard of late is not in the last stage.
func TestRolloutConfirmedWaitsForAll(t *testing.T) {
	t.Parallel()
	s := newSimInLastStage()
	s.store.down = true
	s.run(minOldIdle + 2*TickInterval)
	m := s.routers[0].machine
	require.Equal(t, WaitStatus, m.Snapshots()[0].WaitsFor)
	require.False(t, writesCompleted(s, m, Half))
	require.True(t, writesCompleted(s, m, All))
	require.Less(t, s.now-s.orderAt, newTimeline(simWithin).rejectAt, "there was time for both")
}

// writePause bounds the pauses between writes that fail within idleFor: each is twice the one
// before.
const maxFailedWritePause = minOldIdle

// completes tells whether a machine writes `completed` within such a pause while another
// router has a stage in force.
func writesCompleted(s *sim, m *Machine, inForce Stage) bool {
	other := m.Reports()[0]
	other.MinAppliedStage = inForce
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

// TestRolloutSettledNeedsAllRouters shows that `completed` isn't written early while a
// router is there that has told nothing.
func TestRolloutSettledNeedsAllRouters(t *testing.T) {
	t.Parallel()
	s := newSimInLastStage()
	require.False(t, confirms(s, 2))
	require.True(t, confirms(s, 1))
}

// settles tells whether a router finds the roll-out done soon, with so many routers there.
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

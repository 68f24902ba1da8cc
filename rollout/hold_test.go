package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutHoldIsNotForEver shows that a router out of touch whose own few answers speak
// against the target stops by itself and goes on after some seconds, and that the others
// go on all the time.
func TestRolloutHoldIsNotForEver(t *testing.T) {
	t.Parallel()
	s := newSimWithOrder(1, 0, simWithin)
	s.run(time.Second)
	r := s.routers[2]
	r.partitioned = true
	s.respondBadly(r, 20)
	s.run(TickInterval)
	require.Zero(t, r.gate.Fraction)
	require.Equal(t, Waiting, r.machine.Reports()[0].MinAppliedStage)
	require.Equal(t, Trial, r.machine.Reports()[0].MaxStage)
	require.Positive(t, s.routers[0].gate.Fraction)
	s.run(initialHold + TickInterval)
	require.Positive(t, r.gate.Fraction)
	s.run(simWithin - (s.now - s.orderAt))
	require.Empty(t, s.fault)
	require.Equal(t, Completed, s.status())
}

// answerBadly tells a router of bad answers of the target, in several cohorts.
func (s *sim) respondBadly(r *simRouter, n int) {
	for i := range n {
		s.update(r, ResponseMsg{
			Now:     s.now - r.started,
			Service: simService,
			Route:   "a",
			Cohort:  string(rune('x' + i%3)),
			Target:  true,
			Bad:     true,
		})
	}
}

// TestRolloutHoldsGrow shows that each hold lasts longer than the one before.
func TestRolloutHoldsGrow(t *testing.T) {
	t.Parallel()
	var h hold
	h.begin(0)
	require.Equal(t, initialHold, h.until)
	h.begin(0)
	require.Equal(t, initialHold*holdGrowth, h.until)
}

// TestRolloutRejectionIsTold shows that what the leader has rejected stays closed at all
// routers while the store can't be written.
func TestRolloutRejectionIsTold(t *testing.T) {
	t.Parallel()
	s := newSimWithOrder(1, 0, simWithin)
	s.run(time.Second)
	s.store.down = true
	s.respondBadly(s.routers[0], 30)
	s.run(2 * initialHold)
	for _, r := range s.routers {
		require.Zero(t, r.gate.Fraction)
		require.True(t, r.machine.Reports()[0].Rejected)
	}
	s.routers = s.routers[1:]
	s.store.down = false
	s.run(maxBackoff + time.Second)
	require.Equal(t, RolledBack, s.status())
}

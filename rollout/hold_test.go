package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutHoldIsNotForEver verifies that a partitioned router with few responses, most of them
// bad, stops sending to the target and resumes after initialHold, while the others continue.
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

// respondBadly delivers n bad responses of the target, in several cohorts, to a router.
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

// TestRolloutHoldsGrow verifies that each hold lasts longer than the one before.
func TestRolloutHoldsGrow(t *testing.T) {
	t.Parallel()
	var h hold
	h.begin(0)
	require.Equal(t, initialHold, h.until)
	h.begin(0)
	require.Equal(t, initialHold*holdGrowth, h.until)
}

// TestRolloutRejectionIsTold verifies that all routers keep a target closed that the leader has
// rejected while the store is down, and that the next leader then writes the rollback.
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

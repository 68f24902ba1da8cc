package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leaderInLastStage returns a leading machine that has moved a busy service to a good target up
// to the last stage, and a function that runs a tick with good and bad responses in each cohort.
func leaderInLastStage(t *testing.T) (*Machine, func(good, bad int)) {
	m, tick := newLeader(1)
	now := time.Duration(0)
	respond := func(cohort string, target, bad bool) {
		m.Update(ResponseMsg{Now: now, Service: "llm", Route: "r", Cohort: cohort, Target: target, Bad: bad})
	}
	advance := func(good, bad int) {
		for _, cohort := range []string{"a", "b", "c"} {
			respond(cohort, false, false)
			for range good {
				respond(cohort, true, false)
			}
			for range bad {
				respond(cohort, true, true)
			}
		}
		tick(now)
		now += TickInterval
	}
	for m.Snapshots()[0].Stage < All {
		require.Less(t, now, 6*time.Second)
		advance(2, 0)
	}
	return m, advance
}

// TestRolloutSuspectedGoesBack verifies that a version that responds badly for a moment in the
// last stage gets fewer requests until there is a verdict, and all again if it is good.
func TestRolloutSuspectedGoesBack(t *testing.T) {
	m, advance := leaderInLastStage(t)
	advance(2, 1)
	advance(2, 1)
	require.Equal(t, Undecided, m.Snapshots()[0].Verdict)
	require.InDelta(t, quarterFraction, m.Snapshots()[0].Part, 0)
	for range 4 {
		advance(5, 0)
	}
	require.Equal(t, Good, m.Snapshots()[0].Verdict)
	require.InDelta(t, 1, m.Snapshots()[0].Part, 0)
}

// TestRolloutSuspectedIsNotCompleted verifies that a version is not completed if it responds badly
// shortly before, but too little for the verdict Bad: after completion all callers depend on it.
func TestRolloutSuspectedIsNotCompleted(t *testing.T) {
	m, advance := leaderInLastStage(t)
	plan := newTimeline(6 * time.Second)
	for m.Snapshots()[0].Age < plan.writeAt-2*TickInterval {
		advance(2, 0)
	}
	for m.Snapshots()[0].Age < plan.deadline {
		advance(2, 1)
		advance(5, 0)
	}
	require.False(t, m.services["llm"].rollout.confirmed)
}

// TestRolloutDoubtedWaits has only the servers of one hall respond badly shortly before the
// deadline: the version must be completed, since one faulty server may be the cause, but only
// when no time is left for the other servers to show that it is the version.
func TestRolloutDoubtedWaits(t *testing.T) {
	m, advance := leaderInLastStage(t)
	plan := newTimeline(6 * time.Second)
	for m.Snapshots()[0].Age < plan.rejectAt-2*TickInterval {
		advance(2, 0)
		for range 3 {
			m.Update(ResponseMsg{Service: "llm", Route: "r", Cohort: "a", Target: true, Bad: true})
		}
	}
	require.Equal(t, Good, m.Snapshots()[0].Verdict)
	require.False(t, m.services["llm"].rollout.confirmed)
	for range 3 {
		advance(2, 0)
	}
	require.True(t, m.services["llm"].rollout.confirmed)
}

package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lastStage has a leading machine move a busy service to a target that answers well until all
// requests go there, and returns a function that lets a tick pass with answers of each cohort.
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

// TestRolloutSuspectedGoesBack has a version answer badly for a moment once it has all requests: it
// must get fewer until it is clear whether it is bad, and all again if it is not.
func TestRolloutSuspectedGoesBack(t *testing.T) {
	m, pass := leaderInLastStage(t)
	pass(2, 1)
	pass(2, 1)
	require.Equal(t, Undecided, m.Snapshots()[0].Verdict)
	require.InDelta(t, quarterFraction, m.Snapshots()[0].Part, 0)
	for range 4 {
		pass(5, 0)
	}
	require.Equal(t, Good, m.Snapshots()[0].Verdict)
	require.InDelta(t, 1, m.Snapshots()[0].Part, 0)
}

// TestRolloutSuspectedIsNotCompleted has a version answer badly in the last moments before it would
// be completed, too little to be judged bad: every caller would have it from then on.
func TestRolloutSuspectedIsNotCompleted(t *testing.T) {
	m, pass := leaderInLastStage(t)
	plan := newTimeline(6 * time.Second)
	for m.Snapshots()[0].Age < plan.writeAt-2*TickInterval {
		pass(2, 0)
	}
	for m.Snapshots()[0].Age < plan.deadline {
		pass(2, 1)
		pass(5, 0)
	}
	require.False(t, m.services["llm"].rollout.confirmed)
}

// TestRolloutDoubtedWaits has the servers of one hall alone answer badly in the last moments: the
// version must be completed, since it may be one faulty server, but only when no time is left for the
// others to show that it is the version.
func TestRolloutDoubtedWaits(t *testing.T) {
	m, pass := leaderInLastStage(t)
	plan := newTimeline(6 * time.Second)
	for m.Snapshots()[0].Age < plan.rejectAt-2*TickInterval {
		pass(2, 0)
		for range 3 {
			m.Update(ResponseMsg{Service: "llm", Route: "r", Cohort: "a", Target: true, Bad: true})
		}
	}
	require.Equal(t, Good, m.Snapshots()[0].Verdict)
	require.False(t, m.services["llm"].rollout.confirmed)
	for range 3 {
		pass(2, 0)
	}
	require.True(t, m.services["llm"].rollout.confirmed)
}

package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutSnapshotTellsWhatItWaitsFor shows the reasons that an operator reads.
func TestRolloutSnapshotTellsWhatItWaitsFor(t *testing.T) {
	t.Parallel()
	waits := func(s *sim) Wait { return s.routers[0].machine.Snapshots()[0].WaitsFor }
	s := newSim(2, 1)
	s.run(time.Second)
	require.Equal(t, WaitNothing, waits(s))
	s.store.put(newVersion, "m1", simWithin)
	s.run(time.Second)
	require.Equal(t, WaitServers, waits(s))
	s.versions = append(s.versions, newVersion)
	s.oldEnds = false
	s.run(time.Second)
	require.Equal(t, WaitTime, waits(s))
	s.run(newTimeline(simWithin).due(All) - time.Second)
	require.Equal(t, WaitOldServers, waits(s))
	st := s.routers[0].machine.Snapshots()[0]
	require.Equal(t, All, st.Stage)
	require.Equal(t, 2, st.Routers)
	require.Len(t, st.Routes, 3)
	require.Equal(t, Good, st.Verdict)
}

// TestRolloutSnapshotWithoutServersInUse shows what an operator reads where all servers
// were replaced by those of a version that nobody ordered.
func TestRolloutSnapshotWithoutServersInUse(t *testing.T) {
	t.Parallel()
	s := newSim(1, 1)
	s.run(time.Second)
	s.versions = []string{"never"}
	s.run(time.Second)
	require.Equal(t, "order", s.routers[0].machine.Snapshots()[0].WaitsFor.String())
}

// TestRolloutTimeline shows that the steps come in order, whatever time there is, and
// that a part of it is left to judge.
func TestRolloutTimeline(t *testing.T) {
	t.Parallel()
	for within := 10 * time.Millisecond; within < time.Hour; within = within*5/4 + 1 {
		p := newTimeline(within)
		require.GreaterOrEqual(t, p.ramp, part(within, 1-mostReserved)-time.Microsecond, within)
		require.Less(t, p.ramp, p.lastRamp, within)
		require.Less(t, p.due(All), p.move, within)
		require.Less(t, p.lastRamp+rampSteps*p.dwell, p.write, within)
		require.Less(t, p.write, p.giveUp, within)
		require.Less(t, p.giveUp, p.end, within)
	}
}

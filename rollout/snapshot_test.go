package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutSnapshotTellsWhatItWaitsFor verifies the values of WaitsFor during a rollout.
func TestRolloutSnapshotTellsWhatItWaitsFor(t *testing.T) {
	t.Parallel()
	waitsFor := func(s *sim) Wait { return s.routers[0].machine.Snapshots()[0].WaitsFor }
	s := newSim(2, 1)
	s.run(time.Second)
	require.Equal(t, WaitNothing, waitsFor(s))
	s.store.put(newVersion, "m1", simWithin)
	s.run(time.Second)
	require.Equal(t, WaitServers, waitsFor(s))
	s.versions = append(s.versions, newVersion)
	s.oldDrains = false
	s.run(time.Second)
	require.Equal(t, WaitTime, waitsFor(s))
	s.run(newTimeline(simWithin).stageAt(All) - time.Second)
	require.Equal(t, WaitOldServers, waitsFor(s))
	snap := s.routers[0].machine.Snapshots()[0]
	require.Equal(t, All, snap.Stage)
	require.Equal(t, 2, snap.Routers)
	require.Len(t, snap.Routes, 3)
	require.Equal(t, Good, snap.Verdict)
}

// TestRolloutSnapshotWithoutServersInUse verifies the value of WaitsFor after all servers were
// replaced by those of a version that nobody ordered.
func TestRolloutSnapshotWithoutServersInUse(t *testing.T) {
	t.Parallel()
	s := newSim(1, 1)
	s.run(time.Second)
	s.versions = []string{"never"}
	s.run(time.Second)
	require.Equal(t, "order", s.routers[0].machine.Snapshots()[0].WaitsFor.String())
}

// TestRolloutTimeline verifies that the steps are in order for any time from an order to its
// deadline, and that part of that time is left for evaluation.
func TestRolloutTimeline(t *testing.T) {
	t.Parallel()
	for within := 10 * time.Millisecond; within < time.Hour; within = within*5/4 + 1 {
		p := newTimeline(within)
		require.GreaterOrEqual(t, p.rampAt, scale(within, 1-maxReservedFraction)-time.Microsecond, within)
		require.Less(t, p.rampAt, p.latestRampAt, within)
		require.Less(t, p.stageAt(All), p.writeAt, within)
		require.Less(t, p.latestRampAt+rampSteps*p.minStepInterval, p.writeAt, within)
		require.Less(t, p.writeAt, p.rejectAt, within)
		require.Less(t, p.rejectAt, p.deadline, within)
	}
}

// TestRolloutLeavesTimeForStreams verifies that the time in which old servers finish their streams
// grows with the order, up to several seconds.
func TestRolloutLeavesTimeForStreams(t *testing.T) {
	for within, least := range map[time.Duration]time.Duration{30 * time.Second: 2400 * time.Millisecond, time.Minute: 4800 * time.Millisecond, 10 * time.Minute: 8 * time.Second} {
		p := newTimeline(within)
		require.GreaterOrEqual(t, p.writeAt-p.stageAt(All), least, within)
	}
}

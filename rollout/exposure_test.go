package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutExposure bounds how much traffic a version gets that turns bad at various times: its
// fraction of the requests until the deadline, and for how long it gets any after its 50th bad
// response.
func TestRolloutExposure(t *testing.T) {
	t.Parallel()
	const maxBad, seeds = 50, 40
	plan := newTimeline(simWithin)
	for _, c := range []struct {
		name string
		at   time.Duration
	}{{"at once", 0}, {"midway", simWithin / 2}, {"in the ramp", plan.stageAt(Half)}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			maxShare, maxDelay := 0.0, time.Duration(0)
			for seed := range int64(seeds) {
				share, delay, state := measureExposure(t, seed, c.at, maxBad)
				require.Equal(t, RolledBack, state)
				maxShare, maxDelay = max(maxShare, share), max(maxDelay, delay)
			}
			t.Logf("bad %s: at most %.3f of the requests; %s after %d bad responses", c.name, maxShare, maxDelay, maxBad)
			require.LessOrEqual(t, maxShare, 0.1)
			require.LessOrEqual(t, maxDelay, time.Second)
		})
	}
}

// measureExposure runs a rollout of a version that turns bad at the given time. It returns the
// version's fraction of the requests, how long it got any after maxBad bad responses, and the
// order's final state.
func measureExposure(t *testing.T, seed int64, at time.Duration, maxBad int) (float64, time.Duration, State) {
	s := newSimWithOrder(seed, 0, simWithin)
	s.run(at)
	s.badRate[newVersion] = 0.35
	before := s.badResponses[newVersion]
	limitAt, lastAt := time.Duration(0), time.Duration(0)
	for s.now < s.orderAt+simWithin && s.fault == "" {
		sent := s.requests[newVersion]
		s.tick()
		if s.requests[newVersion] > sent {
			lastAt = s.now
		}
		if limitAt == 0 && s.badResponses[newVersion]-before >= maxBad {
			limitAt = s.now
		}
	}
	require.Empty(t, s.fault)
	all := s.requests[newVersion] + s.requests[oldVersion]
	if limitAt == 0 {
		limitAt = lastAt
	}
	return float64(s.requests[newVersion]) / float64(all), lastAt - limitAt, s.status()
}

// TestRolloutExposureInLastStage verifies that the bound also holds for a version that turns
// bad once all requests go to it, before the deadline.
func TestRolloutExposureInLastStage(t *testing.T) {
	t.Parallel()
	const maxBad, seeds = 50, 10
	plan := newTimeline(simWithin)
	maxShare := 0.0
	for seed := range int64(seeds) {
		share, _, _ := measureExposure(t, seed, (plan.stageAt(All)+plan.writeAt)/2, maxBad)
		maxShare = max(maxShare, share)
	}
	t.Logf("at most %.3f of the requests", maxShare)
	require.LessOrEqual(t, maxShare, 0.1)
}

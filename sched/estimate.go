package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// estimateWeight is the weight of the newest cost in the moving average.
const estimateWeight = 0.1

// costKey names the requests whose costs are taken to be alike.
type costKey struct {
	team fleet.Team
	work fleet.Work
}

// estimator learns what a request of a team and work costs in slot time. A
// team's first request is estimated at the mean of the work.
type estimator struct {
	byTeam map[costKey]time.Duration
	byWork map[fleet.Work]time.Duration
}

func newEstimator() estimator {
	return estimator{byTeam: map[costKey]time.Duration{}, byWork: map[fleet.Work]time.Duration{}}
}

func (e estimator) estimate(k fleet.DemandKey) time.Duration {
	if d, ok := e.byTeam[costKey{k.Team, k.Work}]; ok {
		return d
	}
	return e.byWork[k.Work]
}

func (e estimator) observe(k fleet.DemandKey, cost time.Duration) {
	ck := costKey{k.Team, k.Work}
	e.byTeam[ck] = movingAverage(e.byTeam[ck], cost)
	e.byWork[k.Work] = movingAverage(e.byWork[k.Work], cost)
}

func movingAverage(old, cost time.Duration) time.Duration {
	if old == 0 {
		return cost
	}
	return old + time.Duration(float64(cost-old)*estimateWeight)
}

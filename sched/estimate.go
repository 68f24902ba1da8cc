package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// estimateWeight is the weight of the newest cost in the exponential moving
// average.
const estimateWeight = 0.1

// costKey identifies a group of requests that share one cost estimate.
type costKey struct {
	team fleet.Team
	work fleet.Work
}

// estimator estimates the slot time that a request of a given team and work
// costs. Until a team has a completed request of a work, its estimate is the
// average of that work over all teams.
type estimator struct {
	byTeam map[costKey]time.Duration
	byWork map[fleet.Work]time.Duration
}

// newEstimator returns an estimator without observations, whose estimates are 0.
func newEstimator() estimator {
	return estimator{byTeam: map[costKey]time.Duration{}, byWork: map[fleet.Work]time.Duration{}}
}

func (e estimator) estimate(k fleet.DemandKey) time.Duration {
	if d, ok := e.byTeam[costKey{k.Team, k.Work}]; ok {
		return d
	}
	return e.byWork[k.Work]
}

// observe updates the estimates with the actual cost of a completed request.
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

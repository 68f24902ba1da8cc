package rollout

const (
	// priorRate is the assumed rate of bad responses of old servers without any responses
	// yet: healthy servers stay below it.
	priorRate = 0.05
	// priorWeight is the weight of priorRate, in responses: even a small service gives more
	// responses in a second.
	priorWeight = 10
	// shrinkageWeight is the weight, in responses, of the broader rate (of the route, of the
	// earlier slices) next to a cell's own responses: the rate of fewer responses is mostly noise.
	shrinkageWeight = 15
	// sliceDecay is the factor by which the weight of earlier responses decays with each slice
	// of a second: the baseline follows a change of load within a few seconds.
	sliceDecay = 0.8
	// minRate is the lower bound of the expected rate: near a rate of 0, a single bad response
	// would decide.
	minRate = 0.03
	// maxRate is the upper bound of the expected rate: with badRateIncrease added, the rate must
	// stay below 1.
	maxRate = 0.75
)

// routePhase identifies the responses of one route in one phase.
type routePhase struct {
	Route      string
	AfterStart bool
}

// weightedCount holds weighted counts of bad and of all responses.
type weightedCount struct{ bad, all float64 }

// rate returns the rate of bad responses, with a prior rate that counts as weight responses.
func (s weightedCount) rate(prior, weight float64) float64 {
	return (s.bad + prior*weight) / (s.all + weight)
}

// baseline holds the recent counts of bad responses of old servers, with exponential decay.
type baseline map[routePhase]weightedCount

// update adds the old servers' responses of a slice. The counts of a route without any do not
// decay, since in a rollout's last stage old servers get no requests.
func (b baseline) update(slice cells) {
	for rk, s := range oldByRoute(slice) {
		if s.all == 0 {
			continue
		}
		before := b[rk]
		b[rk] = weightedCount{before.bad*sliceDecay + s.bad, before.all*sliceDecay + s.all}
	}
}

// expected returns the rate of bad responses expected of a good version in a cell's cohort,
// based on the old servers in the same slice.
func (b baseline) expected(slice cells, routes map[routePhase]weightedCount, k cellKey) float64 {
	rk := routePhase{k.Route, k.AfterStart}
	before := b[rk].rate(priorRate, priorWeight)
	route := routes[rk].rate(before, shrinkageWeight)
	k.Target = false
	old := slice[k]
	cell := weightedCount{float64(old.Bad), old.responses()}.rate(route, shrinkageWeight)
	return min(max(cell, minRate), maxRate)
}

// oldByRoute sums the old servers' responses of a slice by route and phase.
func oldByRoute(slice cells) map[routePhase]weightedCount {
	routes := map[routePhase]weightedCount{}
	for k, t := range slice {
		if k.Target {
			continue
		}
		rk := routePhase{k.Route, k.AfterStart}
		s := routes[rk]
		routes[rk] = weightedCount{s.bad + float64(t.Bad), s.all + t.responses()}
	}
	return routes
}

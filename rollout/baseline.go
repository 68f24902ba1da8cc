package rollout

const (
	// firstGuess is the rate of bad answers that old servers are taken to have before any
	// answer is known: healthy servers stay below it.
	priorRate = 0.05
	// firstWeight is how many answers the first guess counts for: a second's answers of
	// a small service outweigh it.
	priorWeight = 10
	// shrinkWeight is how many answers the wider rate (of the route, of the seconds before)
	// counts for beside a cell's own answers: a rate of fewer answers is mostly chance.
	shrinkageWeight = 15
	// keepOfSecond is the part of the earlier answers' weight that is left after another
	// slice of a second: in a few seconds the baseline follows a change of load.
	sliceDecay = 0.8
	// leastRate bounds the rate of old servers from below: at a rate of nearly nothing
	// a single bad answer would decide.
	minRate = 0.03
	// mostRate bounds it from above, to leave room for a worse one.
	maxRate = 0.75
)

// routeKind names the answers of one route, of one kind.
type routePhase struct {
	Route      string
	AfterStart bool
}

// share is a count of bad answers among all, with weights.
type weightedCount struct{ bad, all float64 }

func (s weightedCount) rate(prior, weight float64) float64 {
	return (s.bad + prior*weight) / (s.all + weight)
}

// baseline remembers how often answers of old servers were bad of late.
type baseline map[routePhase]weightedCount

// learn takes in the old servers' answers of a slice. Where there were none the memory
// stays, as in a roll-out's last stage nothing goes to old servers.
func (b baseline) update(slice cells) {
	for rk, s := range oldByRoute(slice) {
		if s.all == 0 {
			continue
		}
		before := b[rk]
		b[rk] = weightedCount{before.bad*sliceDecay + s.bad, before.all*sliceDecay + s.all}
	}
}

// expected returns the rate of bad answers that a good version has in a cell's cohort,
// by the old servers in the same slice of time.
func (b baseline) expected(slice cells, routes map[routePhase]weightedCount, k cellKey) float64 {
	rk := routePhase{k.Route, k.AfterStart}
	before := b[rk].rate(priorRate, priorWeight)
	route := routes[rk].rate(before, shrinkageWeight)
	k.Target = false
	old := slice[k]
	cell := weightedCount{float64(old.Bad), old.responses()}.rate(route, shrinkageWeight)
	return min(max(cell, minRate), maxRate)
}

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

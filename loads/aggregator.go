package loads

import (
	"cmp"
	"time"
)

// minAggregatorTime is how long a router stays with an aggregator where there are several regions: until
// what it told the last one, and what that one told of it, no longer holds, late lists
// included. One that hears nothing would else count through three aggregators and more.
const minAggregatorTime = 2*LoadsTTL + aggregatorTimeout

// chooseAggregator picks the aggregator: the most powerful router of the hall, but one
// that does not answer is avoided for a while.
func (e *Exchange) chooseAggregator(now time.Duration) {
	if e.mustKeepAggregator(now) {
		return
	}
	if e.unansweredSince > 0 && now-e.unansweredSince > aggregatorTimeout {
		e.avoidedUntil[e.aggregator] = now + avoidDuration
		e.unansweredSince = 0
	}
	best := e.self
	for _, r := range e.routers {
		if r.Hall == e.self.Hall && e.avoidedUntil[r.Address] <= now && betterAggregator(r, best) {
			best = r
		}
	}
	if best.Address != e.aggregator {
		e.aggregator = best.Address
		e.chosenAt = now
		e.unansweredSince = 0
	}
}

// mustKeepAggregator tells whether the aggregator was chosen too lately to turn to another, though it may
// be lost meanwhile.
func (e *Exchange) mustKeepAggregator(now time.Duration) bool {
	return e.multiRegion && e.chosenAt > 0 && now-e.chosenAt < minAggregatorTime
}

// peerAggregators returns the other aggregators of the region: those that the other halls
// should have, and all that send their sums.
func (e *Exchange) peerAggregators() []string {
	to := make(map[string]bool)
	for hall, r := range e.hallLeaders() {
		if r.Region == e.self.Region && (hall != e.self.Hall || e.mustReachHallLeader(r)) {
			to[r.Address] = true
		}
	}
	for r := range e.sums {
		to[r] = true
	}
	return sortedKeys(to)
}

// mustReachHallLeader tells whether the best router of this one's hall tells other regions what this
// one has, though this one avoids it: it would miss the sum of its own hall.
func (e *Exchange) mustReachHallLeader(best Router) bool {
	return e.aggregator == e.self.Address && betterAggregator(best, e.self) && len(e.otherRegions()) > 0
}

// hallLeaders returns the best router of each hall, this one aside.
func (e *Exchange) hallLeaders() map[string]Router {
	leaders := make(map[string]Router)
	for _, r := range e.routers {
		if old, ok := leaders[r.Hall]; !ok || betterAggregator(r, old) {
			leaders[r.Hall] = r
		}
	}
	return leaders
}

// betterAggregator tells whether a router is the better aggregator.
func betterAggregator(a, b Router) bool { return compareAggregators(a, b) < 0 }

// compareAggregators orders routers, the better aggregators first.
func compareAggregators(a, b Router) int {
	return cmp.Or(-cmp.Compare(a.Power, b.Power), cmp.Compare(a.Address, b.Address))
}

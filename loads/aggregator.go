package loads

import (
	"cmp"
	"time"
)

// stay is how long a router stays with an aggregator where there are several regions: until
// what it told the last one, and what that one told of it, no longer holds, late lists
// included. One that hears nothing would else count through three aggregators and more.
const stay = 2*LoadsTTL + silence

// choose picks the aggregator: the most powerful router of the hall, but one
// that does not answer is avoided for a while.
func (e *Exchange) choose(now time.Duration) {
	if e.stays(now) {
		return
	}
	if e.unanswered > 0 && now-e.unanswered > silence {
		e.avoided[e.aggregator] = now + avoidedFor
		e.unanswered = 0
	}
	best := e.self
	for _, r := range e.routers {
		if r.Hall == e.self.Hall && e.avoided[r.Address] <= now && before(r, best) {
			best = r
		}
	}
	if best.Address != e.aggregator {
		e.aggregator = best.Address
		e.chosenAt = now
		e.unanswered = 0
	}
}

// stays tells whether the aggregator was chosen too lately to turn to another, though it may
// be lost meanwhile.
func (e *Exchange) stays(now time.Duration) bool {
	return e.regional && e.chosenAt > 0 && now-e.chosenAt < stay
}

// neighbours returns the other aggregators of the region: those that the other halls
// should have, and all that send their sums.
func (e *Exchange) neighbours() []string {
	to := make(map[string]bool)
	for hall, r := range e.hallLeaders() {
		if r.Region == e.self.Region && (hall != e.self.Hall || e.owesRegion(r)) {
			to[r.Address] = true
		}
	}
	for r := range e.sums {
		to[r] = true
	}
	return sortedKeys(to)
}

// owesRegion tells whether the best router of this one's hall tells other regions what this
// one has, though this one avoids it: it would miss the sum of its own hall.
func (e *Exchange) owesRegion(best Router) bool {
	return e.aggregator == e.self.Address && before(best, e.self) && len(e.otherRegions()) > 0
}

// hallLeaders returns the best router of each hall, this one aside.
func (e *Exchange) hallLeaders() map[string]Router {
	best := make(map[string]Router)
	for _, r := range e.routers {
		if old, ok := best[r.Hall]; !ok || before(r, old) {
			best[r.Hall] = r
		}
	}
	return best
}

// before tells whether a router is the better aggregator.
func before(a, b Router) bool { return compare(a, b) < 0 }

// compare orders routers, the better aggregators first.
func compare(a, b Router) int {
	return cmp.Or(-cmp.Compare(a.Power, b.Power), cmp.Compare(a.Address, b.Address))
}

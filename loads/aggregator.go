package loads

import (
	"cmp"
	"time"
)

// minAggregatorTime is how long a router keeps its aggregator where there are several regions:
// until what it reported to the previous aggregator, and the sums that include it, have expired,
// delayed lists included. Otherwise a router that receives no answers would be counted through
// three or more aggregators.
const minAggregatorTime = 2*LoadsTTL + aggregatorTimeout

// chooseAggregator chooses the most powerful router of the hall, but avoids one that does not
// answer for a while.
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

// mustKeepAggregator reports whether the aggregator was chosen too recently to be replaced, even if
// it may be lost.
func (e *Exchange) mustKeepAggregator(now time.Duration) bool {
	return e.multiRegion && e.chosenAt > 0 && now-e.chosenAt < minAggregatorTime
}

// peerAggregators returns the other aggregators of the region: the expected ones of the other
// halls, and every router that sends sums.
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

// mustReachHallLeader reports whether this router must send its sum to the best aggregator of its
// own hall. While this router avoids that one and aggregates the hall itself, the other may still
// send the region's totals to other regions, and they would lack this hall.
func (e *Exchange) mustReachHallLeader(best Router) bool {
	return e.aggregator == e.self.Address && betterAggregator(best, e.self) && len(e.otherRegions()) > 0
}

// hallLeaders returns the best aggregator of each hall by hall, among all live routers but this
// one.
func (e *Exchange) hallLeaders() map[string]Router {
	leaders := make(map[string]Router)
	for _, r := range e.routers {
		if old, ok := leaders[r.Hall]; !ok || betterAggregator(r, old) {
			leaders[r.Hall] = r
		}
	}
	return leaders
}

// betterAggregator reports whether a is a better aggregator than b.
func betterAggregator(a, b Router) bool { return compareAggregators(a, b) < 0 }

// compareAggregators orders routers by power, highest first, and then by address. The best
// aggregator comes first.
func compareAggregators(a, b Router) int {
	return cmp.Or(-cmp.Compare(a.Power, b.Power), cmp.Compare(a.Address, b.Address))
}

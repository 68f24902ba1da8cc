package gateway

import (
	"sync"
	"time"
)

const (
	// maxTimeLeftTTL is how long the longest time that a route's callers gave is
	// remembered.
	maxTimeLeftTTL = 30 * time.Second
	// transitFraction is the part of that time within which a request counts as new in any case:
	// the time that a request is on its way.
	transitFraction = 0.02
	// misjudgedFraction is the part of first tries that may count as older than they are: the
	// times that callers of one route give at first differ, by a seventh where that
	// was measured.
	misjudgedFraction = 0.05
	// spreadStep is by how much one first try moves the estimate of how far they
	// differ: some fifty of them bring it to within 0.02.
	spreadStep = 0.02
	// maxSpread bounds that estimate, so that callers who come back are told apart
	// also where many of those served do: they have used a third of their time.
	maxSpread = 0.25
)

// ageEstimator estimates how long ago a caller first asked for something: callers of a
// route begin with about the same time to live and come back with what is left of it.
// How far the times of first tries lie below the longest is learned from requests of
// teams that are served as they come. The zero value knows nothing.
type ageEstimator struct {
	mu          sync.Mutex
	maxTimeLeft map[string]timeLeftRecord
	spread      float64 // part of the longest time by which first tries lie below it
}

// timeLeftRecord is the longest time that a route's callers gave lately.
type timeLeftRecord struct {
	timeLeft time.Duration
	at       time.Duration
}

// estimate returns the age of a request that came with some time left; 0 where it may be a
// first try, or its caller gave none.
func (a *ageEstimator) estimate(now time.Duration, route string, timeLeft time.Duration) time.Duration {
	if timeLeft <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.maxTimeLeft == nil {
		a.maxTimeLeft = make(map[string]timeLeftRecord)
	}
	longest := a.maxTimeLeft[route]
	if timeLeft >= longest.timeLeft || now-longest.at > maxTimeLeftTTL {
		a.maxTimeLeft[route] = timeLeftRecord{timeLeft: timeLeft, at: now}
		return 0
	}
	minNewTimeLeft := (1 - a.spread) * float64(longest.timeLeft)
	if float64(timeLeft) > minNewTimeLeft-transitFraction*float64(longest.timeLeft) {
		return 0
	}
	return time.Duration(minNewTimeLeft) - timeLeft
}

// observeFirstTry takes in the time that a request of a team within its share came with: nearly
// all of them are first tries.
func (a *ageEstimator) observeFirstTry(route string, timeLeft time.Duration) {
	if timeLeft <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	longest := a.maxTimeLeft[route]
	if longest.timeLeft <= 0 {
		return
	}
	if float64(timeLeft) < (1-a.spread)*float64(longest.timeLeft) {
		a.spread = min(a.spread+spreadStep*(1-misjudgedFraction), maxSpread)
		return
	}
	a.spread = max(a.spread-spreadStep*misjudgedFraction, 0)
}

// retainRoutes forgets the routes that are not in force.
func (a *ageEstimator) retainRoutes(configured func(route string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for route := range a.maxTimeLeft {
		if !configured(route) {
			delete(a.maxTimeLeft, route)
		}
	}
}

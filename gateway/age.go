package gateway

import (
	"sync"
	"time"
)

const (
	// maxTimeLeftTTL is how long the longest remaining time sent by a route's callers is
	// kept.
	maxTimeLeftTTL = 30 * time.Second
	// transitFraction is the fraction of the longest remaining time by which a request may
	// lie below that of first tries and still count as new. It covers the time that a
	// request is in transit.
	transitFraction = 0.02
	// misjudgedFraction is the fraction of first tries that may count as older than they
	// are, since the remaining times of first tries on one route differ by as much as a
	// seventh.
	misjudgedFraction = 0.05
	// spreadStep is how much one first try changes the estimated spread; about fifty first
	// tries bring the estimate to within 0.02.
	spreadStep = 0.02
	// maxSpread caps the estimated spread. Retries have used up a third of their time, so
	// they are still detected if many of the served requests are retries.
	maxSpread = 0.25
)

// ageEstimator estimates how long ago a caller sent the first try of a request. Callers of
// a route start with about the same time limit and send what remains of it with each retry.
// The spread of the remaining times of first tries is learned from requests of teams that
// stay within their shares. The zero value is ready to use.
type ageEstimator struct {
	mu          sync.Mutex
	maxTimeLeft map[string]timeLeftRecord
	spread      float64 // how far first tries lie below the longest time, as a fraction of it
}

// timeLeftRecord holds the longest remaining time that a route's callers sent recently.
type timeLeftRecord struct {
	timeLeft time.Duration
	at       time.Duration // when it was recorded
}

// estimate returns the age of a request that arrives with timeLeft. It returns 0 if the
// request may be a first try or its caller sent no time limit.
func (e *ageEstimator) estimate(now time.Duration, route string, timeLeft time.Duration) time.Duration {
	if timeLeft <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.maxTimeLeft == nil {
		e.maxTimeLeft = make(map[string]timeLeftRecord)
	}
	longest := e.maxTimeLeft[route]
	if timeLeft >= longest.timeLeft || now-longest.at > maxTimeLeftTTL {
		e.maxTimeLeft[route] = timeLeftRecord{timeLeft: timeLeft, at: now}
		return 0
	}
	minNewTimeLeft := (1 - e.spread) * float64(longest.timeLeft)
	if float64(timeLeft) > minNewTimeLeft-transitFraction*float64(longest.timeLeft) {
		return 0
	}
	return time.Duration(minNewTimeLeft) - timeLeft
}

// observeFirstTry updates the spread with a request of a team within its share. Nearly all
// such requests are first tries.
func (e *ageEstimator) observeFirstTry(route string, timeLeft time.Duration) {
	if timeLeft <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	longest := e.maxTimeLeft[route]
	if longest.timeLeft <= 0 {
		return
	}
	if float64(timeLeft) < (1-e.spread)*float64(longest.timeLeft) {
		e.spread = min(e.spread+spreadStep*(1-misjudgedFraction), maxSpread)
		return
	}
	e.spread = max(e.spread-spreadStep*misjudgedFraction, 0)
}

// retainRoutes drops the routes that are no longer configured.
func (e *ageEstimator) retainRoutes(configured func(route string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for route := range e.maxTimeLeft {
		if !configured(route) {
			delete(e.maxTimeLeft, route)
		}
	}
}

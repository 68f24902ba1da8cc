package gateway

import (
	"sync"
	"time"
)

const (
	// ageForgets is how long the longest time that a route's callers gave is
	// remembered.
	ageForgets = 30 * time.Second
	// ageNoise is the part of that time within which a request counts as new.
	ageNoise = 0.02
)

// callerAges estimates how long ago a caller first asked for something: callers
// of a route begin with the same time to live and come back with what is left of
// it. The zero value knows nothing.
type callerAges struct {
	mu      sync.Mutex
	longest map[string]longestTime
}

// longestTime is the longest time that a route's callers gave lately.
type longestTime struct {
	left time.Duration
	at   time.Duration
}

// of returns the age of a request that came with some time left; 0 where its
// caller gave none.
func (a *callerAges) of(now time.Duration, route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.longest == nil {
		a.longest = make(map[string]longestTime)
	}
	known := a.longest[route]
	if left >= known.left || now-known.at > ageForgets {
		a.longest[route] = longestTime{left: left, at: now}
		return 0
	}
	age := known.left - left
	if float64(age) < ageNoise*float64(known.left) {
		return 0
	}
	return age
}

// keep forgets the routes that are not in force.
func (a *callerAges) keep(inForce func(route string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for route := range a.longest {
		if !inForce(route) {
			delete(a.longest, route)
		}
	}
}

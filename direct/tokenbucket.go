package direct

import (
	"math"
	"time"
)

const (
	// bucketDepth is the time over which an allowance that is not used adds up.
	bucketDepth = 400 * time.Millisecond
	// lateReserveFraction is the part of a full allowance from which requests that are late
	// already have some of it too.
	lateReserveFraction = 0.7
	// maxCorrection bounds how much more or less than its part a router gives a team
	// that gets less or more than it may; see correction.
	maxCorrection = 2.0
	// minRouterFraction is the least part of a team's share that a router has, in parts
	// of an even one: callers that change routers are not refused at the new one
	// until it has seen enough of them.
	minRouterFraction = 0.5
)

// tokenBucket is what a router may give a team that asks for more than its share:
// its part of the share, token by token, so that all routers together give the
// team its share in every second. The zero value is without bounds.
type tokenBucket struct {
	rate   float64 // tokens a second; 0: without bounds
	tokens float64 // that may be given now; below 0 after a larger request
}

// refill adds what has come since the last time.
func (a *tokenBucket) refill(rate float64, elapsed time.Duration) {
	if a.rate == 0 {
		a.tokens = 0
	}
	a.rate = rate
	a.tokens = min(a.tokens+rate*elapsed.Seconds(), rate*bucketDepth.Seconds())
}

// empty tells whether nothing is left.
func (a *tokenBucket) empty() bool { return a.rate > 0 && a.tokens <= 0 }

// aboveReserve tells whether more is left than new requests seem to need.
func (a *tokenBucket) aboveReserve() bool {
	return a.rate == 0 || a.tokens > lateReserveFraction*a.rate*bucketDepth.Seconds()
}

// covers tells whether the allowance will have room for one more request within a
// time, after those of its team that wait already.
func (a *tokenBucket) covers(waiting float64, wait time.Duration) bool {
	return a.rate == 0 || a.tokens+a.rate*wait.Seconds() > waiting
}

// subtract takes tokens off; less than 0 gives them back.
func (a *tokenBucket) subtract(tokens float64) {
	if a.rate > 0 {
		a.tokens -= tokens
	}
}

// refillBuckets works out what this router may give the teams that ask for more than
// their share, in proportion to what they ask of it.
func (m *Machine) refillBuckets(now, elapsed time.Duration) {
	minFraction := minRouterFraction / float64(max(m.routers, 1))
	for _, t := range m.teams {
		offered := t.offeredRate(now)
		limits := m.limitsOf(t)
		if limits.level <= 0 || offered <= limits.baseLevel || !m.enabled(TokenBuckets) {
			t.tokenBucket = tokenBucket{}
			continue
		}
		limit := min(limits.level, limits.evenCap)
		if math.IsInf(limit, 0) {
			t.tokenBucket = tokenBucket{}
			continue
		}
		localFraction := max(t.localFraction(now)*correction(limit, t.servedRate(now)), minFraction)
		t.tokenBucket.refill(limit*localFraction, elapsed)
	}
}

// correction is by how much a router gives a team more than its part of what the
// team may get, where the team gets less than that: routers without processor time
// don't use their parts, and others give them. Where the team gets more, since its
// callers change routers faster than routers hear of one another, all give less.
func correction(limit, served float64) float64 {
	if served <= limit/maxCorrection {
		return maxCorrection
	}
	return max(limit/served, 1/maxCorrection)
}

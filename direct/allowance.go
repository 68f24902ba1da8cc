package direct

import (
	"math"
	"time"
)

const (
	// allowanceKept is the time over which an allowance that is not used adds up.
	allowanceKept = 400 * time.Millisecond
	// plentyPart is the part of a full allowance from which requests that are late
	// already have some of it too.
	plentyPart = 0.7
	// correctMost bounds how much more or less than its part a router gives a team
	// that gets less or more than it may; see correction.
	correctMost = 2.0
	// leastPart is the least part of a team's share that a router has, in parts
	// of an even one: callers that change routers are not refused at the new one
	// until it has seen enough of them.
	leastPart = 0.5
)

// allowance is what a router may give a team that asks for more than its share:
// its part of the share, token by token, so that all routers together give the
// team its share in every second. The zero value is without bounds.
type allowance struct {
	rate   float64 // tokens a second; 0: without bounds
	tokens float64 // that may be given now; below 0 after a larger request
}

// refill adds what has come since the last time.
func (a *allowance) refill(rate float64, passed time.Duration) {
	if a.rate == 0 {
		a.tokens = 0
	}
	a.rate = rate
	a.tokens = min(a.tokens+rate*passed.Seconds(), rate*allowanceKept.Seconds())
}

// spent tells whether nothing is left.
func (a *allowance) spent() bool { return a.rate > 0 && a.tokens <= 0 }

// plenty tells whether more is left than new requests seem to need.
func (a *allowance) plenty() bool {
	return a.rate == 0 || a.tokens > plentyPart*a.rate*allowanceKept.Seconds()
}

// covers tells whether the allowance will have room for one more request within a
// time, after those of its team that wait already.
func (a *allowance) covers(waiting float64, within time.Duration) bool {
	return a.rate == 0 || a.tokens+a.rate*within.Seconds() > waiting
}

// take takes tokens off; less than 0 gives them back.
func (a *allowance) take(tokens float64) {
	if a.rate > 0 {
		a.tokens -= tokens
	}
}

// allow works out what this router may give the teams that ask for more than
// their share, in proportion to what they ask of it.
func (m *Machine) allow(now, passed time.Duration) {
	least := leastPart / float64(max(m.routers, 1))
	for _, t := range m.teams {
		offered := t.offeredRate(now)
		bounds := m.boundsOf(t)
		if bounds.level <= 0 || offered <= bounds.base || !m.uses(TokenBuckets) {
			t.allowance = allowance{}
			continue
		}
		most := min(bounds.level, bounds.even)
		if math.IsInf(most, 0) {
			t.allowance = allowance{}
			continue
		}
		part := max(t.part(now)*correction(most, t.servedRate(now)), least)
		t.allowance.refill(most*part, passed)
	}
}

// correction is by how much a router gives a team more than its part of what the
// team may get, where the team gets less than that: routers without processor time
// don't use their parts, and others give them. Where the team gets more, since its
// callers change routers faster than routers hear of one another, all give less.
func correction(most, served float64) float64 {
	if served <= most/correctMost {
		return correctMost
	}
	return max(most/served, 1/correctMost)
}

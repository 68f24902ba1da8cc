package direct

import (
	"math"
	"time"
)

const (
	// satisfiedFraction is the part of what it asks for that a team gets from which it
	// counts as satisfied.
	satisfiedFraction = 0.8
	// unsatisfiedDemandFactor is the demand, in shares, from which a team wants more than its
	// share.
	unsatisfiedDemandFactor = 1.1
	// While a team wants more and gets less, others get at most evenWithin times
	// what it gets; up to evenShares of their share, since some of what they get
	// comes too late to count, shareWithin times. It counts as getting leastEven
	// of its share at the least.
	evenCapFactor      = 1.3
	lenientShareFactor = 1.3
	lenientCapFactor   = 1.5
	minServedFraction  = 0.45
)

// updateEvenCaps works out what teams may get above their shares while others get less: for the
// teams that are not bound to regions, and for each group of those that are.
func (m *Machine) updateEvenCaps(now time.Duration) {
	m.evenCap = math.Inf(1)
	if !m.enabled(EvenCap) {
		return
	}
	unbound := m.lowestServed(now)
	m.evenCap = m.evenCapFor(nil, m.baseLevel, unbound)
	for _, g := range m.groups {
		g.evenCap = m.evenCapFor(g, g.baseLevel, unbound)
	}
}

// lowestServed notes with each group the least that one of its teams gets that wants more
// than its share and gets less, and returns that of the teams that are not bound.
func (m *Machine) lowestServed(now time.Duration) float64 {
	unbound := math.Inf(1)
	for _, t := range m.teams {
		offered, served := t.offeredRate(now), t.servedRate(now)
		switch {
		case offered <= unsatisfiedDemandFactor*m.limitsOf(t).baseLevel || served >= satisfiedFraction*offered:
		case t.group == nil:
			unbound = min(unbound, served)
		default:
			t.group.lowest = min(t.group.lowest, served)
		}
	}
	return unbound
}

// evenCapFor returns what a team of a group may get as long as another team that draws on
// the same regions wants more than its share and gets less: not much more, in parts of its
// own share, than the least that those get.
func (m *Machine) evenCapFor(group *teamGroup, baseLevel, unbound float64) float64 {
	if math.IsInf(baseLevel, 1) {
		return baseLevel
	}
	lowest := scaleToShare(unbound, m.baseLevel, baseLevel)
	for _, g := range m.groups {
		if group.intersects(g) {
			lowest = min(lowest, scaleToShare(g.lowest, g.baseLevel, baseLevel))
		}
	}
	lowest = max(lowest, minServedFraction*baseLevel)
	return max(evenCapFactor*lowest, min(lenientShareFactor*baseLevel, lenientCapFactor*lowest))
}

// scaleToShare converts tokens of one share into the same part of another share.
func scaleToShare(tokens, of, share float64) float64 {
	if of == share || math.IsInf(tokens, 1) {
		return tokens
	}
	return tokens * (share / of)
}

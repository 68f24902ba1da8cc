package direct

import (
	"math"
	"time"
)

const (
	// satisfiedFraction is the fraction of its demand from which a team counts as satisfied.
	satisfiedFraction = 0.8
	// unsatisfiedDemandFactor is the demand, as a multiple of its share, above which a team
	// asks for more than its share.
	unsatisfiedDemandFactor = 1.1
	// While a team asks for more than its share and is not satisfied, the other teams are
	// limited to evenCapFactor times the rate of the least served such team. Up to
	// lenientShareFactor times their own share, the limit is lenientCapFactor times that rate,
	// because part of what they get comes too late to count. The rate of the least served team
	// is taken as at least minServedFraction of its share.
	evenCapFactor      = 1.3
	lenientShareFactor = 1.3
	lenientCapFactor   = 1.5
	minServedFraction  = 0.45
)

// updateEvenCaps computes the even caps of the unrestricted teams and of each group of teams
// that are restricted to regions.
func (m *Machine) updateEvenCaps(now time.Duration) {
	m.evenCap = math.Inf(1)
	if !m.enabled(EvenCap) {
		return
	}
	unrestricted := m.lowestServed(now)
	m.evenCap = m.evenCapFor(nil, m.baseLevel, unrestricted)
	for _, g := range m.groups {
		g.evenCap = m.evenCapFor(g, g.baseLevel, unrestricted)
	}
}

// lowestServed stores in each group the lowest rate among its unsatisfied teams that ask for
// more than their share, and returns the lowest such rate among the unrestricted teams.
func (m *Machine) lowestServed(now time.Duration) float64 {
	unrestricted := math.Inf(1)
	for _, t := range m.teams {
		offered, served := t.offeredRate(now), t.servedRate(now)
		switch {
		case offered <= unsatisfiedDemandFactor*m.limitsOf(t).baseLevel || served >= satisfiedFraction*offered:
		case t.group == nil:
			unrestricted = min(unrestricted, served)
		default:
			t.group.lowest = min(t.group.lowest, served)
		}
	}
	return unrestricted
}

// evenCapFor returns the even cap of a group's teams, or of the unrestricted teams if group is
// nil. It is derived from the lowest rate among unsatisfied teams that may use some of the same
// regions, scaled to the group's share.
func (m *Machine) evenCapFor(group *teamGroup, baseLevel, unrestricted float64) float64 {
	if math.IsInf(baseLevel, 1) {
		return baseLevel
	}
	lowest := scaleToShare(unrestricted, m.baseLevel, baseLevel)
	for _, g := range m.groups {
		if group.intersects(g) {
			lowest = min(lowest, scaleToShare(g.lowest, g.baseLevel, baseLevel))
		}
	}
	lowest = max(lowest, minServedFraction*baseLevel)
	return max(evenCapFactor*lowest, min(lenientShareFactor*baseLevel, lenientCapFactor*lowest))
}

// scaleToShare converts a rate that is part of one share to the same part of another share.
func scaleToShare(tokens, of, share float64) float64 {
	if of == share || math.IsInf(tokens, 1) {
		return tokens
	}
	return tokens * (share / of)
}

package direct

import (
	"math"
	"time"
)

const (
	// satisfied is the part of what it asks for that a team gets from which it
	// counts as satisfied.
	satisfied = 0.8
	// wantsFrom is the demand, in shares, from which a team wants more than its
	// share.
	wantsFrom = 1.1
	// While a team wants more and gets less, others get at most evenWithin times
	// what it gets; up to evenShares of their share, since some of what they get
	// comes too late to count, shareWithin times. It counts as getting leastEven
	// of its share at the least.
	evenWithin  = 1.3
	evenShares  = 1.3
	shareWithin = 1.5
	leastEven   = 0.45
)

// boundEven works out what teams may get above their shares while others get less: for the
// teams that are not bound to regions, and for each group of those that are.
func (m *Machine) boundEven(now time.Duration) {
	m.even = math.Inf(1)
	if !m.uses(EvenCap) {
		return
	}
	free := m.leastServed(now)
	m.even = m.evenLevel(nil, m.base, free)
	for _, g := range m.groups {
		g.even = m.evenLevel(g, g.base, free)
	}
}

// leastServed notes with each group the least that one of its teams gets that wants more
// than its share and gets less, and returns that of the teams that are not bound.
func (m *Machine) leastServed(now time.Duration) float64 {
	free := math.Inf(1)
	for _, t := range m.teams {
		offered, served := t.offeredRate(now), t.servedRate(now)
		switch {
		case offered <= wantsFrom*m.boundsOf(t).base || served >= satisfied*offered:
		case t.group == nil:
			free = min(free, served)
		default:
			t.group.least = min(t.group.least, served)
		}
	}
	return free
}

// evenLevel returns what a team of a group may get as long as another team that draws on
// the same regions wants more than its share and gets less: not much more, in parts of its
// own share, than the least that those get.
func (m *Machine) evenLevel(group *teamGroup, base, free float64) float64 {
	if math.IsInf(base, 1) {
		return base
	}
	least := inShares(free, m.base, base)
	for _, g := range m.groups {
		if group.meets(g) {
			least = min(least, inShares(g.least, g.base, base))
		}
	}
	least = max(least, leastEven*base)
	return max(evenWithin*least, min(evenShares*base, shareWithin*least))
}

// inShares converts tokens of one share into the same part of another share.
func inShares(tokens, of, share float64) float64 {
	if of == share || math.IsInf(tokens, 1) {
		return tokens
	}
	return tokens * (share / of)
}

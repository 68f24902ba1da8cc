package direct

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareEvery is how often shares are worked out.
	shareEvery = 100 * time.Millisecond
	// busySlots is the part of the slots, and busyWait the backlog in parts of
	// the requests' objectives, at which engines count as busy.
	busySlots = 0.55
	busyWait  = 0.3
	// busyStep is the weight of what engines have at one moment in how busy
	// they count: requests come in clumps, which engines work off.
	busyStep = 0.1
	// objectiveStep is the weight of one request in the average objective.
	objectiveStep = 0.02
	// headroomGrows and headroomShrinks change the headroom that teams get above their
	// shares while engines are idle, or busy; headroomMost bounds it.
	headroomGrows   = 1.05
	headroomShrinks = 0.95
	headroomMost    = 4.0
	headroomFrom    = 0.8 // of busy: below, the headroom grows
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

// share works out how much a team may have. What all teams may have together is
// what the configuration says that engines produce, and more of it while the
// engines are seen to have room.
func (m *Machine) share(now time.Duration) {
	if now < m.sharedAt+shareEvery {
		return
	}
	passed := now - m.sharedAt
	m.sharedAt = now
	m.group()
	demands, served := m.demands(now)
	busy := 0.0
	for _, p := range m.pools {
		p.setKeeps(served)
		busy = max(busy, p.busy(now))
	}
	m.busy += busyStep * (busy - m.busy)
	switch {
	case !m.uses(Headroom):
		m.ownHeadroom = 1
	case m.busy > 1:
		m.ownHeadroom = max(m.ownHeadroom*headroomShrinks, 1)
	case m.busy < headroomFrom:
		m.ownHeadroom = min(max(m.ownHeadroom, 1)*headroomGrows, headroomMost)
	}
	m.headroom = m.commonHeadroom()
	m.fill(demands)
	m.boundEven(now)
	m.allow(now, passed)
	m.weighTeams(now)
}

// fill works out the levels up to which teams may get what they ask for; demands are those
// of the teams that are not bound.
func (m *Machine) fill(demands []float64) {
	m.level = 0
	switch {
	case m.limits.TokensPerSecond <= 0:
	case len(m.groups) > 0:
		m.fillGroups(demands)
	default:
		m.base = waterLevel(demands, m.limits.TokensPerSecond)
		m.level = waterLevel(demands, m.limits.TokensPerSecond*m.headroom)
	}
}

// demands notes with each group what its active teams ask for, and returns that of the
// teams that are not bound, and what all teams get.
func (m *Machine) demands(now time.Duration) (free []float64, served float64) {
	free = make([]float64, 0, len(m.teams))
	for _, t := range m.teams {
		served += t.servedRate(now)
		d := t.offeredRate(now)
		switch {
		case d <= activeRate:
		case t.group == nil:
			free = append(free, d)
		default:
			t.group.demands = append(t.group.demands, d)
		}
	}
	return free, served
}

// boundEven works out what teams may get above their shares while others get less.
func (m *Machine) boundEven(now time.Duration) {
	m.even = math.Inf(1)
	if !m.uses(EvenBound) {
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

// inShares returns the same part of a share as some tokens are of another share.
func inShares(tokens, of, share float64) float64 {
	if of == share || math.IsInf(tokens, 1) {
		return tokens
	}
	return tokens * (share / of)
}

// weighTeams adds up what teams ask of this router. What is refused at the door
// does not count, since it takes little processor time.
func (m *Machine) weighTeams(now time.Duration) {
	sum, squares := 0.0, 0.0
	for _, t := range m.teams {
		own := t.entered.decay(now)
		sum += own
		squares += own * own
	}
	m.weightUnit = 0
	if squares > 0 {
		m.weightUnit = sum / squares
	}
}

// WeightOf returns how much of what this router is asked for is a team's, so
// that the average over what it is asked for is 1.
func (m *Machine) WeightOf(now time.Duration, team string) float64 {
	t := m.teams[team]
	if t == nil {
		return 0
	}
	return t.entered.decay(now) * m.weightUnit
}

// TeamShare is what a team asks for and gets, in tokens a second.
type TeamShare struct {
	Team            string
	Offered, Served float64
}

// BoundShare is what a team may get that is bound to some regions.
type BoundShare struct {
	Regions     []string
	Level, Even float64 // as in Shares
}

// Shares is what the machine takes the teams' shares to be.
type Shares struct {
	Level    float64      // most that a team may get while capacity is short; 0: no bound
	Even     float64      // most that a team may get while others get less; 0: no bound
	Headroom float64      // what all may have, in parts of what is configured
	Busy     float64      // how busy the busiest pool of engines is; above 1 there is no room
	Bound    []BoundShare `json:",omitempty"` // where they differ for teams that are bound to some regions
	Most     []TeamShare
}

// shown is a level as it is shown: an infinite one can't be written as JSON.
func shown(level float64) float64 {
	if math.IsInf(level, 0) {
		return 0
	}
	return level
}

// Shares returns the shares, with the n teams that ask for most.
func (m *Machine) Shares(now time.Duration, n int) Shares {
	s := Shares{Level: shown(m.level), Even: shown(m.even), Headroom: m.headroom, Busy: m.busy}
	for _, g := range m.groups {
		if g.level != m.level || g.even != m.even {
			s.Bound = append(s.Bound, BoundShare{Regions: g.regions.Names(), Level: shown(g.level), Even: shown(g.even)})
		}
	}
	for name, t := range m.teams {
		s.Most = append(s.Most, TeamShare{Team: name, Offered: t.offeredRate(now), Served: t.servedRate(now)})
	}
	slices.SortFunc(s.Most, func(a, b TeamShare) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Team, b.Team))
	})
	s.Most = s.Most[:min(n, len(s.Most))]
	return s
}

// busy tells how much the engines of a pool have to do; above 1 they are busy.
func (p *pool) busy(now time.Duration) float64 {
	if p.engine == nil {
		return 0
	}
	running, slots, wait, n := 0, 0, 0.0, 0
	for _, s := range p.order {
		if !s.usable(now) || s.cold.at(now) {
			continue
		}
		running += s.allRunning()
		slots += s.Slots
		wait += float64(s.allPending()) / p.rateOf(s)
		n++
	}
	if n == 0 || slots == 0 {
		return 0
	}
	bySlots := float64(running) / float64(slots) / busySlots
	byWait := wait / float64(n) / (busyWait * max(p.objective, 1))
	return max(bySlots, byWait)
}

package direct

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// TeamShare is what a team asks for and gets, in tokens a second.
type TeamShare struct {
	Team            string
	Offered, Served float64
}

// BoundShare is what a team that is bound to some regions may get.
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
	Bound    []BoundShare `json:",omitempty"` // of teams that are bound to regions, where Level or Even differ for them
	Most     []TeamShare
}

// finiteOrZero returns a level for a dump: JSON has no infinite numbers, so 0 stands for no bound.
func finiteOrZero(level float64) float64 {
	if math.IsInf(level, 0) {
		return 0
	}
	return level
}

// Shares returns the shares, with the n teams that ask for most.
func (m *Machine) Shares(now time.Duration, n int) Shares {
	s := Shares{Level: finiteOrZero(m.level), Even: finiteOrZero(m.evenCap), Headroom: m.headroom, Busy: m.busy}
	for _, g := range m.groups {
		if g.level != m.level || g.evenCap != m.evenCap {
			s.Bound = append(s.Bound, BoundShare{Regions: g.regions.Names(), Level: finiteOrZero(g.level), Even: finiteOrZero(g.evenCap)})
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

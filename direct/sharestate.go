package direct

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// TeamShare is a team's demand and use, in tokens per second.
type TeamShare struct {
	Team            string
	Offered, Served float64
}

// BoundShare holds the limits of the teams that are restricted to the same regions.
type BoundShare struct {
	Regions     []string
	Level, Even float64 // as in Shares
}

// Shares is the state of the division of capacity between teams, for dumps and logs.
type Shares struct {
	Level    float64      // what a team may get while capacity is short; 0: unlimited
	Even     float64      // what a team may get while others get less than they ask for; 0: unlimited
	Headroom float64      // capacity that teams share, as a multiple of the configured capacity
	Busy     float64      // smoothed load of the busiest pool of engines; above 1 it is busy
	Bound    []BoundShare `json:",omitempty"` // of teams restricted to regions, if their Level or Even differs
	Most     []TeamShare
}

// finiteOrZero returns a level for JSON, which has no infinite numbers: 0 stands for unlimited.
func finiteOrZero(level float64) float64 {
	if math.IsInf(level, 0) {
		return 0
	}
	return level
}

// Shares returns the current shares, with the n teams of the highest demand.
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

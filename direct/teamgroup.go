package direct

import (
	"math"
	"slices"
	"strings"
)

// teamGroup is the teams that are bound to the same regions.
//
// Only what binds a team as a whole counts here. A route's regions bind single requests: a
// team sends on many routes, and its share is what it may get on all of them together.
type teamGroup struct {
	teamLimits
	regions Regions
	mask    regionSet // see regionIndex
	demands []float64 // of its active teams
	lowest  float64   // see leastServed
}

// intersects tells whether two groups may use some of the same regions; nil may use all.
func (g *teamGroup) intersects(other *teamGroup) bool {
	return g == other || g == nil || other == nil || g.mask.intersects(other.mask)
}

// minLevel is the least, in tokens a second, that a bound team may get where its regions
// have no servers: the next one to come may serve it at once.
const minLevel = minActiveRate

// setTeamRegions takes in the regions that the configuration binds teams to.
func (m *Machine) setTeamRegions(teams []Team) {
	m.teamRegions = make(map[string]Regions)
	for _, t := range teams {
		if regions := RegionsOf(t.Regions); regions.Restricted() {
			m.teamRegions[t.Name] = regions
		}
	}
	for name, t := range m.teams {
		t.regions = m.teamRegions[name]
	}
}

// group puts the teams into groups by the regions that bind them. Where none is bound, or
// nothing says how much there is to divide, there are no groups.
func (m *Machine) group() {
	if len(m.teamRegions) == 0 && len(m.groups) == 0 {
		return
	}
	m.groups = nil
	for _, t := range m.teams {
		t.group = nil
		if t.regions.Restricted() && m.limits.TokensPerSecond > 0 {
			t.group = m.groupOf(t.regions)
		}
	}
	slices.SortFunc(m.groups, func(a, b *teamGroup) int { return slices.Compare(a.regions.allowed, b.regions.allowed) })
	index := newRegionIndex(m.groups)
	for _, g := range m.groups {
		g.mask = index.setOf(g.regions)
	}
}

func (m *Machine) groupOf(regions Regions) *teamGroup {
	for _, g := range m.groups {
		if slices.Equal(g.regions.allowed, regions.allowed) {
			return g
		}
	}
	g := &teamGroup{regions: regions, teamLimits: teamLimits{evenCap: math.Inf(1)}, lowest: math.Inf(1)}
	m.groups = append(m.groups, g)
	return g
}

// regionIndex numbers the regions that some teams are bound to. All others share the
// number 0: nothing tells them apart, and only teams that are not bound may use them.
type regionIndex struct{ names []string }

func newRegionIndex(groups []*teamGroup) regionIndex {
	var names []string
	for _, g := range groups {
		names = append(names, g.regions.allowed...)
	}
	slices.SortFunc(names, strings.Compare)
	return regionIndex{names: slices.Compact(names)}
}

// bitOf returns the number of a region. Those beyond what a set tells apart share the
// last one: their teams then count as able to use more regions than they may.
func (x regionIndex) bitOf(region string) int {
	i, found := slices.BinarySearch(x.names, region)
	if !found || region == "" {
		return 0
	}
	return min(i+1, maxRegions-1)
}

func (x regionIndex) setOf(regions Regions) regionSet {
	set := regionSet(0)
	for _, name := range regions.allowed {
		set |= 1 << x.bitOf(name)
	}
	return set
}

// size is how many numbers there are.
func (x regionIndex) size() int { return min(len(x.names)+1, maxRegions) }

// updateGroupLevels works out the levels where some teams are bound: each draws only on its
// regions.
func (m *Machine) updateGroupLevels(demands []float64) {
	capacity := m.regionCapacities(newRegionIndex(m.groups))
	everywhere := regionSet(1)<<len(capacity) - 1
	unbound := newDemandSet(everywhere, demands)
	sets := []*demandSet{unbound}
	for _, g := range m.groups {
		sets = append(sets, newDemandSet(g.mask, g.demands))
	}
	maxMin(capacity, sets)
	m.baseLevel = unbound.level
	for i, g := range m.groups {
		g.baseLevel = max(sets[i+1].level, minLevel)
	}
	for i := range capacity {
		capacity[i] *= m.headroom
	}
	maxMin(capacity, sets)
	m.level = unbound.level
	for i, g := range m.groups {
		g.level = max(sets[i+1].level, minLevel)
	}
}

// regionCapacities splits what all engines have together between regions, by the slots of the
// servers that stay in use: all routers know these alike, and they don't change with each
// answer, as measured rates do.
func (m *Machine) regionCapacities(index regionIndex) []float64 {
	slots := make([]float64, index.size())
	sum := 0.0
	for _, p := range m.pools {
		if p.engine == nil {
			continue
		}
		for _, s := range p.admitted {
			if !s.available() {
				continue
			}
			slots[index.bitOf(s.region)] += float64(max(s.Slots, 1))
			sum += float64(max(s.Slots, 1))
		}
	}
	if sum == 0 {
		// Nothing is in use at the moment: what comes back first is not known.
		slots[0], sum = 1, 1
	}
	for i := range slots {
		slots[i] *= m.limits.TokensPerSecond / sum
	}
	return slots
}

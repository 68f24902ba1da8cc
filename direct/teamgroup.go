package direct

import (
	"math"
	"slices"
	"strings"
)

// teamGroup holds the teams that are restricted to the same regions.
//
// Only restrictions of a whole team count here. A route's regions restrict single requests: a
// team sends requests on many routes, and its share covers all of them together.
type teamGroup struct {
	teamLimits
	regions Regions
	mask    regionSet // regions as numbered by regionIndex
	demands []float64 // of its active teams
	lowest  float64   // see lowestServed
}

// intersects reports whether two groups may use some of the same regions. A nil group stands
// for the unrestricted teams, which may use all.
func (g *teamGroup) intersects(other *teamGroup) bool {
	return g == other || g == nil || other == nil || g.mask.intersects(other.mask)
}

// minLevel is the minimum level of a restricted team, in tokens per second. It applies while the
// team's regions have no servers, so that the next server that appears can serve it at once.
const minLevel = minActiveRate

// setTeamRegions applies the regions to which the configuration restricts teams.
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

// assignTeamGroups assigns the restricted teams to groups by their regions. There are no groups
// if no team is restricted or the configuration sets no capacity.
func (m *Machine) assignTeamGroups() {
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

// regionIndex numbers the regions that some teams are restricted to. All other regions share
// number 0: only unrestricted teams may use them, so they need no distinction.
type regionIndex struct{ names []string }

func newRegionIndex(groups []*teamGroup) regionIndex {
	var names []string
	for _, g := range groups {
		names = append(names, g.regions.allowed...)
	}
	slices.SortFunc(names, strings.Compare)
	return regionIndex{names: slices.Compact(names)}
}

// bitOf returns the number of a region. Regions beyond the size of a set share the last number;
// their teams then count as allowed in more regions than they are.
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

// size returns how many numbers are in use.
func (x regionIndex) size() int { return min(len(x.names)+1, maxRegions) }

// updateGroupLevels computes the levels if some teams are restricted; each team uses only the
// capacity of its regions.
func (m *Machine) updateGroupLevels(demands []float64) {
	capacity := m.regionCapacities(newRegionIndex(m.groups))
	everywhere := regionSet(1)<<len(capacity) - 1
	unrestricted := newDemandSet(everywhere, demands)
	sets := []*demandSet{unrestricted}
	for _, g := range m.groups {
		sets = append(sets, newDemandSet(g.mask, g.demands))
	}
	maxMin(capacity, sets)
	m.baseLevel = unrestricted.level
	for i, g := range m.groups {
		g.baseLevel = max(sets[i+1].level, minLevel)
	}
	for i := range capacity {
		capacity[i] *= m.headroom
	}
	maxMin(capacity, sets)
	m.level = unrestricted.level
	for i, g := range m.groups {
		g.level = max(sets[i+1].level, minLevel)
	}
}

// regionCapacities splits the capacity of all engines between regions by the slots of the
// available servers. All routers see the same slots, and slots don't change with each response
// as measured rates do.
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
		// No server is available, and it is unknown which region will have one first.
		slots[0], sum = 1, 1
	}
	for i := range slots {
		slots[i] *= m.limits.TokensPerSecond / sum
	}
	return slots
}

package direct

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// maxMinCase is a problem of dividing the capacities of a few regions between a few teams.
type maxMinCase struct {
	capacity []float64
	allowed  []regionSet // by team
	demands  []float64   // by team
}

func drawMaxMin(t *rapid.T) maxMinCase {
	var c maxMinCase
	regions := rapid.IntRange(1, 4).Draw(t, "regions")
	for range regions {
		c.capacity = append(c.capacity, float64(rapid.IntRange(0, 9).Draw(t, "capacity")))
	}
	for range rapid.IntRange(1, 6).Draw(t, "teams") {
		c.allowed = append(c.allowed, regionSet(rapid.IntRange(0, 1<<regions-1).Draw(t, "allowed")))
		c.demands = append(c.demands, float64(rapid.IntRange(0, 12).Draw(t, "demand")))
	}
	return c
}

// allocate returns what maxMin gives each team.
func (c maxMinCase) allocate() []float64 {
	var sets []*demandSet
	for _, allowed := range c.allowed {
		if slices.ContainsFunc(sets, func(d *demandSet) bool { return d.allowed == allowed }) {
			continue
		}
		var demands []float64
		for i, a := range c.allowed {
			if a == allowed {
				demands = append(demands, c.demands[i])
			}
		}
		sets = append(sets, newDemandSet(allowed, demands))
	}
	maxMin(c.capacity, sets)
	got := make([]float64, len(c.allowed))
	for i, allowed := range c.allowed {
		at := slices.IndexFunc(sets, func(d *demandSet) bool { return d.allowed == allowed })
		got[i] = min(c.demands[i], sets[at].level)
	}
	return got
}

// feasible reports whether the teams can get the wanted amounts at once. It routes them from
// teams to regions by augmenting paths, independently of levels and unions.
func (c maxMinCase) feasible(want []float64) bool {
	const epsilon = 1e-9
	flow := make([][]float64, len(want))
	for i := range flow {
		flow[i] = make([]float64, len(c.capacity))
	}
	used := func(region int) float64 {
		sum := 0.0
		for i := range flow {
			sum += flow[i][region]
		}
		return sum
	}
	// assign places a team's tokens, moving those of other teams to other regions if needed.
	var assign func(team int, amount float64, seen []bool) float64
	assign = func(team int, amount float64, seen []bool) float64 {
		for region := range c.capacity {
			if seen[region] || !c.allowed[team].intersects(1<<region) {
				continue
			}
			seen[region] = true
			if room := min(amount, c.capacity[region]-used(region)); room > epsilon {
				flow[team][region] += room
				return room
			}
			for other := range flow {
				if other == team || flow[other][region] <= epsilon {
					continue
				}
				if moved := assign(other, min(amount, flow[other][region]), seen); moved > 0 {
					flow[other][region] -= moved
					flow[team][region] += moved
					return moved
				}
			}
		}
		return 0
	}
	for team, amount := range want {
		for amount > 1e-6 {
			moved := assign(team, amount, make([]bool, len(c.capacity)))
			if moved == 0 {
				return false
			}
			amount -= moved
		}
	}
	return true
}

// TestRegionMaxMin checks random divisions: the amounts must be feasible, and no team could get
// more at the expense only of teams that get more than it does.
func TestRegionMaxMin(t *testing.T) {
	const step = 1e-3
	rapid.Check(t, func(t *rapid.T) {
		c := drawMaxMin(t)
		got := c.allocate()
		require.True(t, c.feasible(got), "%v is not feasible in %v", got, c)
		for i := range got {
			if got[i] >= c.demands[i] {
				continue
			}
			want := slices.Clone(got)
			for j := range want {
				want[j] = min(want[j], got[i])
			}
			want[i] += step
			require.False(t, c.feasible(want), "team %d could get more than %v in %v", i, got, c)
		}
	})
}

// TestRegionMaxMinUnrestricted checks that teams that may all use the same regions get what
// waterLevel gives them.
func TestRegionMaxMinUnrestricted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawMaxMin(t)
		set := newDemandSet(1<<len(c.capacity)-1, c.demands)
		maxMin(c.capacity, []*demandSet{set})
		sum := 0.0
		for _, one := range c.capacity {
			sum += one
		}
		level := waterLevel(c.demands, sum)
		if math.IsInf(level, 1) {
			require.Equal(t, level, set.level)
			return
		}
		require.InDelta(t, level, set.level, 1e-9)
	})
}

// TestRegionMaxMinManySets has more unions of sets than are examined. Each set must be limited
// by its own regions and by the union of all.
func TestRegionMaxMinManySets(t *testing.T) {
	var capacity []float64
	var sets []*demandSet
	for i := range 20 {
		capacity = append(capacity, float64(i))
		sets = append(sets, newDemandSet(1<<i, []float64{100}))
	}
	// One more region has exactly what the team that may use all regions asks for.
	capacity = append(capacity, 1)
	sets = append(sets, newDemandSet(1<<21-1, []float64{1}))
	require.Len(t, unionsOf(sets), len(sets))
	maxMin(capacity, sets)
	for i := range 20 {
		require.InDelta(t, capacity[i], sets[i].level, 1e-9, "set %d", i)
	}
}

package direct

import (
	"math"
	"slices"
	"sort"
)

// maxUnions bounds the unions of allowed sets that are looked at: three regions have
// seven at the most, and with as many as here a division still takes a small part of the
// time between two. Beyond it only the sets themselves and all regions together bound
// what teams get, which is exact where no two sets overlap in part.
const maxUnions = 64

// maxRegions is how many regions a regionSet tells apart.
const maxRegions = 64

// regionSet is a set of regions, a bit each.
type regionSet uint64

func (s regionSet) subsetOf(other regionSet) bool   { return s&^other == 0 }
func (s regionSet) intersects(other regionSet) bool { return s&other != 0 }

// demandSet is what the teams ask for that may use the same regions.
type demandSet struct {
	allowed regionSet
	demands []float64 // in ascending order
	sums    []float64 // of the first demands
	level   float64   // most that one of its teams may get
	settled bool
}

func newDemandSet(allowed regionSet, demands []float64) *demandSet {
	d := &demandSet{allowed: allowed, demands: slices.Sorted(slices.Values(demands))}
	d.sums = make([]float64, len(demands)+1)
	for i, demand := range d.demands {
		d.sums[i+1] = d.sums[i] + demand
	}
	return d
}

// allocatedAt returns what its teams get together where none gets more than a level, and how many
// of them want more than that.
func (d *demandSet) allocatedAt(level float64) (float64, int) {
	if d.settled {
		level = d.level
	}
	satisfied := sort.Search(len(d.demands), func(i int) bool { return d.demands[i] > level })
	unsatisfied := len(d.demands) - satisfied
	if unsatisfied == 0 {
		return d.sums[satisfied], 0
	}
	allocated := d.sums[satisfied] + level*float64(unsatisfied)
	if d.settled {
		unsatisfied = 0
	}
	return allocated, unsatisfied
}

// maxMin divides the capacity of regions so that the least that a team gets is as much as
// any division gives, then the next least, and so on, where each team draws only on the
// regions that it may use. It sets the level of each set. That is water-filling: all
// levels rise together, and where what some regions have is used up, those that may use
// no others stay there.
func maxMin(capacity []float64, sets []*demandSet) {
	for _, d := range sets {
		d.level, d.settled = math.Inf(1), false
	}
	unions := unionsOf(sets)
	reached := 0.0
	for {
		lowest, saturated := math.Inf(1), regionSet(0)
		for _, u := range unions {
			if level := saturationLevel(capacity, sets, u, reached, lowest); level < lowest {
				lowest, saturated = level, u
			}
		}
		if math.IsInf(lowest, 1) {
			return
		}
		reached = lowest
		for _, d := range sets {
			if !d.settled && d.allowed.subsetOf(saturated) {
				d.level, d.settled = lowest, true
			}
		}
	}
}

// saturationLevel returns the level from which the teams that may use no other regions than those
// of a union use up what these have: one between least and most, or an infinite one.
func saturationLevel(capacity []float64, sets []*demandSet, union regionSet, low, high float64) float64 {
	available := capacityOf(capacity, union)
	if allocated, _, open := allocatedWithin(sets, union, high); !open || allocated <= available {
		return math.Inf(1)
	}
	// What they get rises ever more slowly with the level: steps along its slope come
	// nearer from below, and the first that passes no demand ends there.
	level, previous := low, -1
	for {
		allocated, unsatisfied, _ := allocatedWithin(sets, union, level)
		if unsatisfied == 0 || unsatisfied == previous || allocated >= available {
			return level
		}
		level += (available - allocated) / float64(unsatisfied)
		previous = unsatisfied
	}
}

// allocatedWithin returns what the teams that may use no other regions than those of a union get
// at a level, how many want more, and whether the level of some is not settled.
func allocatedWithin(sets []*demandSet, union regionSet, level float64) (allocated float64, unsatisfied int, open bool) {
	for _, d := range sets {
		if !d.allowed.subsetOf(union) {
			continue
		}
		amount, more := d.allocatedAt(level)
		allocated += amount
		unsatisfied += more
		open = open || !d.settled
	}
	return allocated, unsatisfied, open
}

func capacityOf(capacity []float64, set regionSet) float64 {
	sum := 0.0
	for i, c := range capacity {
		if set.intersects(1 << i) {
			sum += c
		}
	}
	return sum
}

// unionsOf returns the unions of allowed sets: what other regions have together never
// bounds more than what the largest union within them has.
func unionsOf(sets []*demandSet) []regionSet {
	var own, all []regionSet
	together := regionSet(0)
	for _, d := range sets {
		together |= d.allowed
		if slices.Contains(own, d.allowed) {
			continue
		}
		own = append(own, d.allowed)
		for _, u := range slices.Clone(all) {
			if u |= d.allowed; len(all) <= maxUnions && !slices.Contains(all, u) {
				all = append(all, u)
			}
		}
		if !slices.Contains(all, d.allowed) {
			all = append(all, d.allowed)
		}
	}
	if len(all) <= maxUnions {
		return all
	}
	if !slices.Contains(own, together) {
		own = append(own, together)
	}
	return own
}

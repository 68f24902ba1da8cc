package direct

import (
	"math"
	"slices"
	"sort"
)

// maxUnions bounds the unions of allowed sets that are examined. Three regions have at most
// seven, and a division with this many still takes only a small part of shareInterval. Beyond
// the bound, only the sets themselves and the union of all regions limit the teams, which is
// exact if no two sets overlap partially.
const maxUnions = 64

// maxRegions is the number of regions that a regionSet can distinguish.
const maxRegions = 64

// regionSet is a set of regions, one bit each.
type regionSet uint64

func (s regionSet) subsetOf(other regionSet) bool   { return s&^other == 0 }
func (s regionSet) intersects(other regionSet) bool { return s&other != 0 }

// demandSet holds the demands of the teams that may use the same regions.
type demandSet struct {
	allowed regionSet
	demands []float64 // in ascending order
	sums    []float64 // prefix sums of demands
	level   float64   // maximum that one of its teams may get
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

// allocatedAt returns the total that the set's teams get if each is limited to a level, and how
// many of them ask for more than that. A settled set keeps its own level and counts no team as
// asking for more.
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

// maxMin computes the max-min fair division of the regions' capacity, where each team may use
// only its allowed regions, and sets the level of each set. It uses water-filling: all levels
// rise together until the capacity of some union of regions is used up; the sets within that
// union are then settled, and the others continue.
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

// saturationLevel returns the level between low and high at which the teams restricted to a
// union of regions use up its capacity, or infinity if there is none.
func saturationLevel(capacity []float64, sets []*demandSet, union regionSet, low, high float64) float64 {
	available := capacityOf(capacity, union)
	if allocated, _, unsettled := allocatedWithin(sets, union, high); !unsettled || allocated <= available {
		return math.Inf(1)
	}
	// The allocated total is concave in the level. Each step follows its slope and approaches
	// the result from below; the first step that passes no demand is exact.
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

// allocatedWithin returns what the teams restricted to a union of regions get at a level, how
// many of them ask for more, and whether any of their sets is not settled.
func allocatedWithin(sets []*demandSet, union regionSet, level float64) (allocated float64, unsatisfied int, unsettled bool) {
	for _, d := range sets {
		if !d.allowed.subsetOf(union) {
			continue
		}
		amount, more := d.allocatedAt(level)
		allocated += amount
		unsatisfied += more
		unsettled = unsettled || !d.settled
	}
	return allocated, unsatisfied, unsettled
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

// unionsOf returns the unions of allowed sets. Any other set of regions needs no check, because
// it limits the teams no more than the largest union within it.
func unionsOf(sets []*demandSet) []regionSet {
	var distinct, all []regionSet
	union := regionSet(0)
	for _, d := range sets {
		union |= d.allowed
		if slices.Contains(distinct, d.allowed) {
			continue
		}
		distinct = append(distinct, d.allowed)
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
	if !slices.Contains(distinct, union) {
		distinct = append(distinct, union)
	}
	return distinct
}

package direct

import (
	"math"
	"slices"
	"sort"
)

// unionsMost bounds the unions of allowed sets that are looked at: three regions have
// seven at the most, and with as many as here a division still takes a small part of the
// time between two. Beyond it only the sets themselves and all regions together bound
// what teams get, which is exact where no two sets overlap in part.
const unionsMost = 64

// regionsMost is how many regions a regionSet tells apart.
const regionsMost = 64

// regionSet is a set of regions, a bit each.
type regionSet uint64

func (s regionSet) within(other regionSet) bool { return s&^other == 0 }
func (s regionSet) meets(other regionSet) bool  { return s&other != 0 }

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
	for i, one := range d.demands {
		d.sums[i+1] = d.sums[i] + one
	}
	return d
}

// at returns what its teams get together where none gets more than a level, and how many
// of them want more than that.
func (d *demandSet) at(level float64) (float64, int) {
	if d.settled {
		level = d.level
	}
	met := sort.Search(len(d.demands), func(i int) bool { return d.demands[i] > level })
	wanting := len(d.demands) - met
	if wanting == 0 {
		return d.sums[met], 0
	}
	got := d.sums[met] + level*float64(wanting)
	if d.settled {
		wanting = 0
	}
	return got, wanting
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
		lowest, full := math.Inf(1), regionSet(0)
		for _, u := range unions {
			if level := fillLevel(capacity, sets, u, reached, lowest); level < lowest {
				lowest, full = level, u
			}
		}
		if math.IsInf(lowest, 1) {
			return
		}
		reached = lowest
		for _, d := range sets {
			if !d.settled && d.allowed.within(full) {
				d.level, d.settled = lowest, true
			}
		}
	}
}

// fillLevel returns the level from which the teams that may use no other regions than those
// of a union use up what these have: one between least and most, or an infinite one.
func fillLevel(capacity []float64, sets []*demandSet, union regionSet, least, most float64) float64 {
	room := capacityOf(capacity, union)
	if got, _, open := gotWithin(sets, union, most); !open || got <= room {
		return math.Inf(1)
	}
	// What they get rises ever more slowly with the level: steps along its slope come
	// nearer from below, and the first that passes no demand ends there.
	level, before := least, -1
	for {
		got, wanting, _ := gotWithin(sets, union, level)
		if wanting == 0 || wanting == before || got >= room {
			return level
		}
		level += (room - got) / float64(wanting)
		before = wanting
	}
}

// gotWithin returns what the teams that may use no other regions than those of a union get
// at a level, how many want more, and whether the level of some is not settled.
func gotWithin(sets []*demandSet, union regionSet, level float64) (got float64, wanting int, open bool) {
	for _, d := range sets {
		if !d.allowed.within(union) {
			continue
		}
		one, more := d.at(level)
		got += one
		wanting += more
		open = open || !d.settled
	}
	return got, wanting, open
}

func capacityOf(capacity []float64, set regionSet) float64 {
	sum := 0.0
	for i, c := range capacity {
		if set.meets(1 << i) {
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
			if u |= d.allowed; len(all) <= unionsMost && !slices.Contains(all, u) {
				all = append(all, u)
			}
		}
		if !slices.Contains(all, d.allowed) {
			all = append(all, d.allowed)
		}
	}
	if len(all) <= unionsMost {
		return all
	}
	if !slices.Contains(own, together) {
		own = append(own, together)
	}
	return own
}

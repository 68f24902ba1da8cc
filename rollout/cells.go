package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// cellKey names a cell.
type cellKey struct {
	Route, Cohort      string
	Target, AfterStart bool
}

// cells counts answers by cell.
type cells map[cellKey]Tally

func cellsOf(list []Cell) cells {
	c := make(cells, len(list))
	for _, l := range list {
		c.count(cellKey{l.Route, l.Cohort, l.Target, l.AfterStart}, Tally{l.Good, l.Bad})
	}
	return c
}

func (c cells) count(k cellKey, t Tally) {
	c[k] = c[k].plus(t)
}

func (c cells) add(other cells) {
	for k, t := range other {
		c.count(k, t)
	}
}

// since returns what has been counted since an earlier sum. A router that has gone took
// its counts along, so that a cell may hold less than before: then nothing is new in it.
func (c cells) since(before cells) cells {
	d := make(cells, len(c))
	for k, t := range c {
		b := before[k]
		d[k] = Tally{Good: t.Good - min(t.Good, b.Good), Bad: t.Bad - min(t.Bad, b.Bad)}
	}
	return d
}

// ofTarget returns the cells of the target's servers that have answers.
func (c cells) ofTarget() cells {
	d := cells{}
	for _, k := range c.targetKeys() {
		d[k] = c[k]
	}
	return d
}

// keys are in a fixed order, as sums of floats depend on it.
func (c cells) sortedKeys() []cellKey {
	return slices.SortedFunc(maps.Keys(c), compareKeys)
}

// targetKeys are those of the target's servers that have answers, in the same order.
func (c cells) targetKeys() []cellKey {
	var keys []cellKey
	for k, t := range c {
		if k.Target && t != (Tally{}) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b cellKey) int {
	return cmp.Or(
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Cohort, b.Cohort),
		compareBools(a.Target, b.Target),
		compareBools(a.AfterStart, b.AfterStart),
	)
}

func compareBools(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

func (c cells) list() []Cell {
	var list []Cell
	for _, k := range c.sortedKeys() {
		t := c[k]
		list = append(list, Cell{k.Route, k.Cohort, k.Target, k.AfterStart, t.Good, t.Bad})
	}
	return list
}

// total adds up how answers began: of the target's servers, or of the old ones.
func (c cells) total(target bool) Tally {
	var sum Tally
	for k, t := range c {
		if k.Target == target && !k.AfterStart {
			sum = sum.plus(t)
		}
	}
	return sum
}

// answers counts all answers, each once.
func (c cells) responses() float64 { return c.total(true).responses() + c.total(false).responses() }

// badOfTarget counts the target's bad answers of both kinds.
func targetBad(list []Cell) uint32 {
	bad := uint32(0)
	for _, c := range list {
		if c.Target {
			bad += c.Bad
		}
	}
	return bad
}

func (t Tally) plus(o Tally) Tally { return Tally{t.Good + o.Good, t.Bad + o.Bad} }

func (t Tally) responses() float64 { return float64(t.Good) + float64(t.Bad) }

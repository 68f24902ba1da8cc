package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// cellKey identifies a Cell: it holds all its fields but the counts.
type cellKey struct {
	Route, Cohort      string
	Target, AfterStart bool
}

// cells holds the counts of responses by cell.
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

// since returns the counts added since an earlier sum. The counts of a lost router are missing
// from c, so a cell may hold less than before; then its difference is 0.
func (c cells) since(before cells) cells {
	d := make(cells, len(c))
	for k, t := range c {
		b := before[k]
		d[k] = Tally{Good: t.Good - min(t.Good, b.Good), Bad: t.Bad - min(t.Bad, b.Bad)}
	}
	return d
}

// ofTarget returns the non-empty cells of the target's servers.
func (c cells) ofTarget() cells {
	d := cells{}
	for _, k := range c.targetKeys() {
		d[k] = c[k]
	}
	return d
}

// sortedKeys returns the keys in a fixed order, since the results of float addition depend on it.
func (c cells) sortedKeys() []cellKey {
	return slices.SortedFunc(maps.Keys(c), compareKeys)
}

// targetKeys returns the keys of the target's non-empty cells, in the same order.
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

// total counts the starts of responses, and so each response once: of the target's servers if
// target is set, otherwise of the old ones.
func (c cells) total(target bool) Tally {
	var sum Tally
	for k, t := range c {
		if k.Target == target && !k.AfterStart {
			sum = sum.plus(t)
		}
	}
	return sum
}

// responses returns the number of responses of all servers, counting each once.
func (c cells) responses() float64 { return c.total(true).responses() + c.total(false).responses() }

// targetBad returns the number of the target's bad outcomes, of both phases.
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

package rollout

import (
	"cmp"
	"slices"
)

// Merge joins what two routers, or two groups of them that share none, tell of one order.
// The order in which reports are merged makes no difference.
func Merge(a, b Report) Report {
	return Report{
		Service: a.Service, Order: a.Order,
		Routers: a.Routers + b.Routers,
		Known:   max(a.Known, b.Known), InForce: min(a.InForce, b.InForce),
		Age:        max(a.Age, b.Age),
		OldRunning: a.OldRunning + b.OldRunning,
		Cells:      mergeCells(a.Cells, b.Cells),
	}
}

// mergeCells adds up the cells of the same evidence, sorted.
func mergeCells(a, b []Cell) []Cell {
	all := append(slices.Clone(a), b...)
	slices.SortFunc(all, compareCells)
	out := all[:0]
	for _, c := range all {
		if n := len(out); n > 0 && compareCells(out[n-1], c) == 0 {
			out[n-1].Good += c.Good
			out[n-1].Bad += c.Bad
			continue
		}
		out = append(out, c)
	}
	return out
}

// compareCells orders cells by what they count.
func compareCells(a, b Cell) int {
	return cmp.Or(
		cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cohort, b.Cohort),
		compareBools(a.Target, b.Target), compareBools(a.Later, b.Later),
	)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

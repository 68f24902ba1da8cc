package rollout

// Merge adds up what two sets of routers tell of the same order. The order of merging
// makes no difference. Where the two tell of different orders, which a router may for a
// moment after an order is replaced, the one with the higher key stays.
func Merge(a, b Report) Report {
	if a.Routers == 0 {
		return b
	}
	if b.Routers == 0 {
		return a
	}
	if a.Order != b.Order {
		return higher(a, b)
	}
	sum := a
	sum.Routers += b.Routers
	sum.MaxStage = max(a.MaxStage, b.MaxStage)
	sum.MinAppliedStage = min(a.MinAppliedStage, b.MinAppliedStage)
	sum.Age = max(a.Age, b.Age)
	sum.OldRunning += b.OldRunning
	sum.Rejected = a.Rejected || b.Rejected
	sum.Demand = a.Demand.add(b.Demand)
	counts := cellsOf(a.Cells)
	counts.add(cellsOf(b.Cells))
	sum.Cells = counts.list()
	return sum
}

func higher(a, b Report) Report {
	if a.Order > b.Order {
		return a
	}
	return b
}

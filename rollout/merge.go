package rollout

// Merge combines the reports of two sets of routers on the same order. It is commutative and
// associative. If the reports are of different orders, which can happen for a moment after an
// order is replaced, Merge returns the one with the higher key.
func Merge(a, b Report) Report {
	if a.Routers == 0 {
		return b
	}
	if b.Routers == 0 {
		return a
	}
	if a.Order != b.Order {
		return withHigherKey(a, b)
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

// withHigherKey returns the report on the order with the higher key.
func withHigherKey(a, b Report) Report {
	if a.Order > b.Order {
		return a
	}
	return b
}

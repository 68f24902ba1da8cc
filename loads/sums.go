package loads

// reportedLoads sums the loads of the routers that report to this one, which may include itself,
// except for one router.
func (e *Exchange) reportedLoads(except string) []Load {
	var lists [][]Load
	for _, from := range sortedKeys(e.reports) {
		if from != except {
			lists = append(lists, e.reports[from].loads)
		}
	}
	if e.includesSelf(except) {
		lists = append(lists, e.own)
	}
	return sum(lists...)
}

// includesSelf reports whether this router is among the routers that report to it, except for one:
// it is its own aggregator, and is not the exception.
func (e *Exchange) includesSelf(except string) bool {
	return e.aggregator == e.self.Address && except != e.self.Address
}

// loadsExcept sums the loads of all routers of the region except for one that reports to this one.
func (e *Exchange) loadsExcept(except string) []Load {
	lists := [][]Load{e.reportedLoads(except)}
	for _, from := range sortedKeys(e.sums) {
		lists = append(lists, e.sums[from].loads)
	}
	return sum(lists...)
}

package loads

// reportedLoads adds up what those have that report here, without one of them. This
// router counts where it is its own aggregator.
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

// includesSelf tells whether what this router has belongs to what is reported here, without
// one router: it reports to itself, and is not that one.
func (e *Exchange) includesSelf(except string) bool {
	return e.aggregator == e.self.Address && except != e.self.Address
}

// loadsExcept adds up what all routers of the region have but one of those that report here.
func (e *Exchange) loadsExcept(except string) []Load {
	lists := [][]Load{e.reportedLoads(except)}
	for _, from := range sortedKeys(e.sums) {
		lists = append(lists, e.sums[from].loads)
	}
	return sum(lists...)
}

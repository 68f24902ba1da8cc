package loads

// reported adds up what those have that report here, without one of them. This
// router counts where it is its own aggregator.
func (e *Exchange) reported(without string) []Load {
	var lists [][]Load
	for _, from := range sortedKeys(e.reports) {
		if from != without {
			lists = append(lists, e.reports[from].loads)
		}
	}
	if e.countsItself(without) {
		lists = append(lists, e.own)
	}
	return sum(lists...)
}

// countsItself tells whether what this router has belongs to what is reported here, without
// one router: it reports to itself, and is not that one.
func (e *Exchange) countsItself(without string) bool {
	return e.aggregator == e.self.Address && without != e.self.Address
}

// allBut adds up what all routers of the region have but one of those that report here.
func (e *Exchange) allBut(without string) []Load {
	lists := [][]Load{e.reported(without)}
	for _, from := range sortedKeys(e.sums) {
		lists = append(lists, e.sums[from].loads)
	}
	return sum(lists...)
}

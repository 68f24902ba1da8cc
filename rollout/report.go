package rollout

import "time"

// Report holds what one router, or several merged, report about the rollout of one service.
type Report struct {
	Service string
	Order   uint64 // see Order.Key
	Routers uint32 // number of routers merged in the report
	// MaxStage is the highest stage that any of them has reached, MinAppliedStage the lowest
	// that any of them applies.
	MaxStage, MinAppliedStage Stage
	// Age is the greatest age of the order that any of them reports.
	Age time.Duration
	// OldRunning is the number of requests running on servers of old versions.
	OldRunning uint32
	// Rejected is set if a leader among them has rejected the target, permanently.
	Rejected bool
	// Demand is the rate of requests that they receive.
	Demand Demand
	// Cells holds the evidence since the order.
	Cells []Cell
}

// Cell counts the responses of one route from the servers of one cohort.
type Cell struct {
	Route      string
	Cohort     string // group of servers that may fail together whatever their version: a data hall
	Target     bool   // true: servers of the target; false: old servers
	AfterStart bool   // true: outcomes after the first event of a response; false: outcomes of its start
	Good       uint32
	Bad        uint32
}

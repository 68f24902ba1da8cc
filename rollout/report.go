package rollout

import "time"

// Report is what one router, or several together, report of the roll-out of one service.
type Report struct {
	Service string
	Order   uint64 // see Order.Key
	Routers uint32 // whose reports are merged in it
	// MaxStage is the highest stage that any of them knows, MinAppliedStage the lowest that any has
	// in force.
	MaxStage, MinAppliedStage Stage
	// Age is the greatest time since the order that any of them knows.
	Age time.Duration
	// OldRunning counts the requests that run at servers of old versions.
	OldRunning uint32
	// Rejected says that a leader among them has found the target bad: it stays closed.
	Rejected bool
	// Demand is what callers ask of them.
	Demand Demand
	// Cells are the evidence since the order.
	Cells []Cell
}

// Cell counts answers of one route from the servers of one cohort.
type Cell struct {
	Route      string
	Cohort     string // group of servers that may fail together, whatever their version: a data hall
	Target     bool   // true: servers of the target; false: old servers
	AfterStart bool   // true: how answers went on after their first event; false: how they began
	Good       uint32
	Bad        uint32
}

package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Msg is anything that a Machine can be told. Now is always the time since the
// process started, on its monotonic clock.
type Msg interface{ isMsg() }

// ConfigMsg puts a new configuration in force.
type ConfigMsg struct {
	Now    time.Duration
	Config Config
}

// RouterUpMsg says that a link to a router stands.
type RouterUpMsg struct {
	Now    time.Duration
	Router fleet.Name
	Hub    bool // the router shares service counters for this agent
}

// RouterDownMsg says that the link to a router is gone.
type RouterDownMsg struct {
	Now    time.Duration
	Router fleet.Name
}

// RouterAliveMsg says that a router was heard of.
type RouterAliveMsg struct {
	Now    time.Duration
	Router fleet.Name
}

// DemandMsg brings the counts of some of a router's lines.
type DemandMsg struct {
	Now    time.Duration
	Router fleet.Name
	Counts []fleet.Count
}

// DenyMsg refuses a claim and gives the line's true count.
type DenyMsg struct {
	Now   time.Duration
	Seq   uint64
	Count fleet.Count
}

// ArriveMsg says that a claimed request has come by HTTP, and what is left of
// its line. Key is the request's line; it counts for open claims, which named
// none.
type ArriveMsg struct {
	Now       time.Duration
	Seq       uint64
	Key       fleet.DemandKey
	Remaining int
	OldestAge time.Duration // age of the oldest that is left
}

// EndMsg says that a request which came has ended, or that its router gave it
// up before it started.
type EndMsg struct {
	Now time.Duration
	Seq uint64
}

// TotalsMsg brings the service of the fleet less this agent's own.
type TotalsMsg struct {
	Now  time.Duration
	Rows []fleet.ServiceRow
}

// HealthMsg says whether the server takes work.
type HealthMsg struct {
	Now     time.Duration
	Serving bool
}

// LeaveMsg ends the taking of new work for good.
type LeaveMsg struct{ Now time.Duration }

// TickMsg lets time pass; send it every TickEvery.
type TickMsg struct{ Now time.Duration }

// TickEvery is the time between two ticks.
const TickEvery = 50 * time.Millisecond

func (ConfigMsg) isMsg()      {}
func (RouterUpMsg) isMsg()    {}
func (RouterDownMsg) isMsg()  {}
func (RouterAliveMsg) isMsg() {}
func (DemandMsg) isMsg()      {}
func (DenyMsg) isMsg()        {}
func (ArriveMsg) isMsg()      {}
func (EndMsg) isMsg()         {}
func (TotalsMsg) isMsg()      {}
func (HealthMsg) isMsg()      {}
func (LeaveMsg) isMsg()       {}
func (TickMsg) isMsg()        {}

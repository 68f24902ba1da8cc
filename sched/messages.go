package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Msg is an input to Machine.Update. The field Now of each message is the time
// since the process started, on its monotonic clock.
type Msg interface{ isMsg() }

// ConfigMsg replaces the configuration.
type ConfigMsg struct {
	Now    time.Duration
	Config Config
}

// RouterUpMsg reports that the link to a router is up.
type RouterUpMsg struct {
	Now    time.Duration
	Router fleet.Name
	Hub    bool // the router aggregates service counters for this agent
}

// RouterDownMsg reports that the link to a router is down.
type RouterDownMsg struct {
	Now    time.Duration
	Router fleet.Name
}

// RouterAliveMsg reports that a message or heartbeat from a router arrived.
type RouterAliveMsg struct {
	Now    time.Duration
	Router fleet.Name
}

// DemandMsg carries the counts of some of a router's queues.
type DemandMsg struct {
	Now    time.Duration
	Router fleet.Name
	Counts []fleet.QueueCount
}

// DenyMsg refuses a claim and carries the current count of its queue.
type DenyMsg struct {
	Now   time.Duration
	Seq   uint64
	Count fleet.QueueCount
}

// ArriveMsg reports that a claimed request has arrived over HTTP, with the
// number of requests that remain in its queue. Key names that queue. It is used
// for open claims only, since they do not name a queue.
type ArriveMsg struct {
	Now       time.Duration
	Seq       uint64
	Key       fleet.DemandKey
	Remaining int
	OldestAge time.Duration // age of the oldest remaining request
}

// EndMsg reports that an arrived request has ended, or that its router withdrew
// it before it started.
type EndMsg struct {
	Now time.Duration
	Seq uint64
}

// TotalsMsg carries the service given by the whole fleet, excluding this agent.
type TotalsMsg struct {
	Now  time.Duration
	Rows []fleet.ServiceRow
}

// HealthMsg reports whether the server accepts work.
type HealthMsg struct {
	Now     time.Duration
	Serving bool
}

// LeaveMsg permanently stops the machine from taking new work.
type LeaveMsg struct{ Now time.Duration }

// TickMsg advances the time. Send it every TickInterval.
type TickMsg struct{ Now time.Duration }

// TickInterval is the time between two ticks.
const TickInterval = 50 * time.Millisecond

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

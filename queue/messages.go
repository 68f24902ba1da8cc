package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Msg is an input to Machine.Update. The field Now of each message is the time
// since the process started, on its monotonic clock.
type Msg interface{ isMsg() }

// RequestID identifies a request within one incarnation of a router.
type RequestID uint64

// Request holds the properties of a caller's request that the Machine uses.
type Request struct {
	ID         RequestID
	Key        fleet.DemandKey
	Repeatable bool
	Deadline   time.Duration // on the machine's clock; 0 for none
}

// ConfigMsg replaces the configuration.
type ConfigMsg struct {
	Now    time.Duration
	Config Config
}

// AgentUpMsg reports that the link to an agent is up and which works its server
// runs.
type AgentUpMsg struct {
	Now   time.Duration
	Agent fleet.Name
	Hall  fleet.Hall
	Works []fleet.Work
}

// AgentDownMsg reports that the link to an agent is down.
type AgentDownMsg struct {
	Now   time.Duration
	Agent fleet.Name
}

// AgentLeavingMsg reports that an agent no longer takes new work.
type AgentLeavingMsg struct {
	Now   time.Duration
	Agent fleet.Name
}

// RequestMsg submits a new request.
type RequestMsg struct {
	Now     time.Duration
	Request Request
}

// CancelMsg reports that the caller of a request has disconnected.
type CancelMsg struct {
	Now time.Duration
	ID  RequestID
}

// FreeMsg reports that an agent has idle slots and no known demand. It grants
// the router one open claim per slot, numbered from First.
type FreeMsg struct {
	Now         time.Duration
	Agent       fleet.Name
	Incarnation fleet.Incarnation
	Slots       int
	First       uint64
}

// ClaimMsg asks for one request from the queue named by Key.
type ClaimMsg struct {
	Now   time.Duration
	Claim fleet.ClaimID
	Key   fleet.DemandKey
}

// ResponseStartedMsg reports that the first byte of a request's response was
// sent to the caller.
type ResponseStartedMsg struct {
	Now time.Duration
	ID  RequestID
}

// EndMsg reports how one run of a request ended.
type EndMsg struct {
	Now     time.Duration
	ID      RequestID
	Outcome Outcome
}

// TickMsg advances the time. Send it every TickInterval.
type TickMsg struct{ Now time.Duration }

// TickInterval is the time between two ticks.
const TickInterval = 50 * time.Millisecond

// Outcome is the way in which one run of a request ended.
type Outcome uint8

// Outcomes of a run.
const (
	// OutcomeDone means that the whole response reached the caller.
	OutcomeDone Outcome = iota
	// OutcomeNotRun means that the agent itself reported that the run never
	// started.
	OutcomeNotRun
	// OutcomeUnknown means that it is unknown whether the request ran, and the
	// caller has received no byte of a response.
	OutcomeUnknown
	// OutcomeCut means that the response broke off or the caller disconnected
	// after the first byte.
	OutcomeCut
)

func (ConfigMsg) isMsg()          {}
func (AgentUpMsg) isMsg()         {}
func (AgentDownMsg) isMsg()       {}
func (AgentLeavingMsg) isMsg()    {}
func (RequestMsg) isMsg()         {}
func (CancelMsg) isMsg()          {}
func (FreeMsg) isMsg()            {}
func (ClaimMsg) isMsg()           {}
func (ResponseStartedMsg) isMsg() {}
func (EndMsg) isMsg()             {}
func (TickMsg) isMsg()            {}

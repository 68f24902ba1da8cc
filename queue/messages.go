package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Msg is anything that a Machine can be told. Now is always the time since the
// process started, on its monotonic clock.
type Msg interface{ isMsg() }

// RequestID numbers the requests of one router's life.
type RequestID uint64

// Request is what the machine has to know of a caller's request.
type Request struct {
	ID         RequestID
	Key        fleet.DemandKey
	Repeatable bool
	Deadline   time.Duration // on the machine's clock; 0 for none
}

// ConfigMsg puts new limits in force.
type ConfigMsg struct {
	Now    time.Duration
	Config Config
}

// AgentUpMsg says that a link to an agent stands and what its server runs.
type AgentUpMsg struct {
	Now   time.Duration
	Agent fleet.Name
	Hall  fleet.Hall
	Works []fleet.Work
}

// AgentDownMsg says that the link to an agent is gone.
type AgentDownMsg struct {
	Now   time.Duration
	Agent fleet.Name
}

// AgentLeavingMsg says that an agent takes no new work.
type AgentLeavingMsg struct {
	Now   time.Duration
	Agent fleet.Name
}

// ArriveMsg brings a new request.
type ArriveMsg struct {
	Now     time.Duration
	Request Request
}

// CancelMsg says that the caller of a request has hung up.
type CancelMsg struct {
	Now time.Duration
	ID  RequestID
}

// FreeMsg says that an agent has free slots and knows of no work. It gives the
// router an open claim for each, numbered from First.
type FreeMsg struct {
	Now         time.Duration
	Agent       fleet.Name
	Incarnation fleet.Incarnation
	Slots       int
	First       uint64
}

// ClaimMsg asks for one request of a line.
type ClaimMsg struct {
	Now   time.Duration
	Claim fleet.ClaimID
	Key   fleet.DemandKey
}

// AnswerStartedMsg says that the first byte of a request's answer went to the caller.
type AnswerStartedMsg struct {
	Now time.Duration
	ID  RequestID
}

// EndMsg says how a run of a request ended.
type EndMsg struct {
	Now     time.Duration
	ID      RequestID
	Outcome Outcome
}

// TickMsg lets time pass; send it every TickEvery.
type TickMsg struct{ Now time.Duration }

// TickEvery is the time between two ticks.
const TickEvery = 50 * time.Millisecond

// Outcome says how one run of a request ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeDone means that the whole answer reached the caller.
	OutcomeDone Outcome = iota
	// OutcomeNotRun means that the agent itself says the run never started.
	OutcomeNotRun
	// OutcomeUnknown means that nobody knows whether it ran, and the caller has
	// had no byte of an answer.
	OutcomeUnknown
	// OutcomeCut means that the answer broke off, or the caller left, after the
	// first byte.
	OutcomeCut
)

func (ConfigMsg) isMsg()        {}
func (AgentUpMsg) isMsg()       {}
func (AgentDownMsg) isMsg()     {}
func (AgentLeavingMsg) isMsg()  {}
func (ArriveMsg) isMsg()        {}
func (CancelMsg) isMsg()        {}
func (FreeMsg) isMsg()          {}
func (ClaimMsg) isMsg()         {}
func (AnswerStartedMsg) isMsg() {}
func (EndMsg) isMsg()           {}
func (TickMsg) isMsg()          {}

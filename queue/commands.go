package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Command is an action that the caller of Machine.Update must carry out.
type Command interface{ isCommand() }

// DemandCmd sends queue counts to an agent.
type DemandCmd struct {
	Agent  fleet.Name
	Counts []fleet.QueueCount
}

// DenyCmd refuses a claim because its queue is empty or its agent is unknown.
type DenyCmd struct {
	Claim fleet.ClaimID
	Count fleet.QueueCount
}

// RunCmd sends a request to the agent that claimed it.
type RunCmd struct {
	ID        RequestID
	Claim     fleet.ClaimID
	Remaining fleet.QueueCount // remaining count of the request's queue
}

// AbortCmd aborts a run whose agent is lost and whose response has not started.
// The EndMsg that follows reports the outcome of the run as far as it is known.
type AbortCmd struct{ ID RequestID }

// RefuseCmd refuses a request. The refusal is the request's final response and
// is sent immediately.
type RefuseCmd struct {
	ID         RequestID
	Reason     Reason
	Ran        Ran
	RetryAfter time.Duration // 0 if a retry is pointless
}

// Ran reports whether a refused request ran.
type Ran uint8

// Values of Ran.
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

var ranNames = [...]string{"no", "yes", "unknown"}

// String returns the value as it appears in the Croftvale-Ran header.
func (r Ran) String() string { return ranNames[r] }

// Reason is the reason for which a request is refused.
type Reason string

// Refusal reasons, as sent to callers.
const (
	ReasonTeamFull       Reason = "team_queue_full"
	ReasonRouterFull     Reason = "router_queue_full"
	ReasonNoServer       Reason = "no_backend_server"
	ReasonDeadline       Reason = "deadline_cannot_be_met"
	ReasonWaitedTooLong  Reason = "waited_too_long"
	ReasonServerFailed   Reason = "backend_server_failed"
	ReasonOutcomeUnknown Reason = "outcome_unknown"
)

func (DemandCmd) isCommand() {}
func (DenyCmd) isCommand()   {}
func (RunCmd) isCommand()    {}
func (AbortCmd) isCommand()  {}
func (RefuseCmd) isCommand() {}

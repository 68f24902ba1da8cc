package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Command is something that the machine wants done.
type Command interface{ isCommand() }

// DemandCmd tells an agent of lines whose counts it should know.
type DemandCmd struct {
	Agent  fleet.Name
	Counts []fleet.Count
}

// DenyCmd refuses a claim because its line is empty.
type DenyCmd struct {
	Claim fleet.ClaimID
	Count fleet.Count
}

// RunCmd sends a request to the agent that claimed it.
type RunCmd struct {
	ID        RequestID
	Claim     fleet.ClaimID
	Remaining fleet.Count // what is left of its line, for the agent to know
}

// AbortCmd gives up a run of which nothing has been answered: its agent is
// lost. The EndMsg that follows says what can be said of the run.
type AbortCmd struct{ ID RequestID }

// RefuseCmd gives a request its final answer, at once.
type RefuseCmd struct {
	ID         RequestID
	Reason     Reason
	Ran        Ran
	RetryAfter time.Duration // 0 where coming back is of no use
}

// Ran says whether a refused request ran.
type Ran uint8

// What can be said of a request.
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

var ranNames = [...]string{"no", "yes", "unknown"}

// String spells it as the Croftvale-Ran header does.
func (r Ran) String() string { return ranNames[r] }

// Reason says why a request is refused.
type Reason string

// The reasons, as callers see them.
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

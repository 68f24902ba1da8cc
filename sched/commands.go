package sched

import "github.com/croftvale/croftvale/fleet"

// Command is something that the machine wants done.
type Command interface{ isCommand() }

// ClaimCmd asks a router for one request of a line.
type ClaimCmd struct {
	Router fleet.Name
	Seq    uint64
	Key    fleet.DemandKey
}

// StartCmd lets a request that has come run on the server now.
type StartCmd struct{ Seq uint64 }

// RejectCmd turns a request away: it has not run and will not.
type RejectCmd struct{ Seq uint64 }

// FreeCmd tells a router that slots are idle and no work is known, and gives
// it open claims, numbered from First, one for each slot: it may answer each
// with a request of its choice, at once. An open claim binds nobody: the agent
// turns the request away if the slot has been taken meanwhile.
type FreeCmd struct {
	Router fleet.Name
	Slots  int
	First  uint64
}

// ServiceCmd sends the agent's own service to a hub.
type ServiceCmd struct {
	Router fleet.Name
	Rows   []fleet.ServiceRow
}

func (ClaimCmd) isCommand()   {}
func (StartCmd) isCommand()   {}
func (RejectCmd) isCommand()  {}
func (FreeCmd) isCommand()    {}
func (ServiceCmd) isCommand() {}

package sched

import "github.com/croftvale/croftvale/fleet"

// Command is an action that the caller of Machine.Update must carry out.
type Command interface{ isCommand() }

// ClaimCmd asks a router for one request from the queue named by Key.
type ClaimCmd struct {
	Router fleet.Name
	Seq    uint64
	Key    fleet.DemandKey
}

// StartCmd starts an arrived request on the server now.
type StartCmd struct{ Seq uint64 }

// RejectCmd rejects a request. The request has not run and will not run.
type RejectCmd struct{ Seq uint64 }

// FreeCmd reports to a router that Slots slots are idle and that the agent has
// no known demand. It grants the router one open claim per slot, numbered from
// First. The router may answer each open claim immediately with a request of
// its choice. An open claim is not a guarantee: the agent rejects the request
// if the slot has been taken in the meantime.
type FreeCmd struct {
	Router fleet.Name
	Slots  int
	First  uint64
}

// ServiceCmd sends the agent's own service counters to a hub.
type ServiceCmd struct {
	Router fleet.Name
	Rows   []fleet.ServiceRow
}

func (ClaimCmd) isCommand()   {}
func (StartCmd) isCommand()   {}
func (RejectCmd) isCommand()  {}
func (FreeCmd) isCommand()    {}
func (ServiceCmd) isCommand() {}

package ledger

import "github.com/croftvale/croftvale/fleet"

// Command is an action that the caller of Hub.Update must carry out.
type Command interface{ isCommand() }

// TotalsCmd sends an agent the service of the whole fleet, excluding its own.
type TotalsCmd struct {
	Agent fleet.Name
	Rows  []fleet.ServiceRow
}

// HallTotalsCmd sends another hub the service of one hall.
type HallTotalsCmd struct {
	Peer fleet.Name
	Hall fleet.Hall
	Rows []fleet.ServiceRow
}

// AgentRowsCmd sends another hub of the same hall the service of one incarnation
// of an agent.
type AgentRowsCmd struct {
	Peer   fleet.Name
	Source Source
	Hall   fleet.Hall
	Rows   []fleet.ServiceRow
}

func (TotalsCmd) isCommand()     {}
func (HallTotalsCmd) isCommand() {}
func (AgentRowsCmd) isCommand()  {}

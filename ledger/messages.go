package ledger

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Source is one life of one agent.
type Source struct {
	Agent       fleet.Name
	Incarnation fleet.Incarnation
}

// Msg is anything that a Hub can be told.
type Msg interface{ isMsg() }

// AgentUpMsg says that this hub serves an agent: it is sent the totals.
type AgentUpMsg struct {
	Now    time.Duration
	Source Source
	Hall   fleet.Hall
}

// AgentDownMsg says that the link to an agent is gone; its service stays.
type AgentDownMsg struct {
	Now   time.Duration
	Agent fleet.Name
}

// PeerUpMsg says that a link to another hub stands.
type PeerUpMsg struct {
	Now    time.Duration
	Peer   fleet.Name
	Hall   fleet.Hall
	Paired bool // this hub sends the peer its hall's totals
}

// PeerDownMsg says that a link to another hub is gone.
type PeerDownMsg struct {
	Now  time.Duration
	Peer fleet.Name
}

// ServiceMsg brings service of one life of an agent, from the agent itself or
// from another hub of its hall.
type ServiceMsg struct {
	Now    time.Duration
	Source Source
	Hall   fleet.Hall
	Rows   []fleet.ServiceRow
}

// HallTotalsMsg brings the service of a hall that other hubs serve.
type HallTotalsMsg struct {
	Now  time.Duration
	Hall fleet.Hall
	Rows []fleet.ServiceRow
}

// TickMsg lets time pass; send it every TickEvery.
type TickMsg struct {
	Now        time.Duration
	ShareEvery time.Duration // time between two rounds of totals
}

// TickEvery is the time between two ticks.
const TickEvery = 50 * time.Millisecond

func (AgentUpMsg) isMsg()    {}
func (AgentDownMsg) isMsg()  {}
func (PeerUpMsg) isMsg()     {}
func (PeerDownMsg) isMsg()   {}
func (ServiceMsg) isMsg()    {}
func (HallTotalsMsg) isMsg() {}
func (TickMsg) isMsg()       {}

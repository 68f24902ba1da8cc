package ledger

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Source identifies one incarnation of an agent.
type Source struct {
	Agent       fleet.Name
	Incarnation fleet.Incarnation
}

// Msg is an input to Hub.Update. Times are since the process started.
type Msg interface{ isMsg() }

// AgentUpMsg reports that this hub serves an agent, that is, sends it totals.
type AgentUpMsg struct {
	Now    time.Duration
	Source Source
	Hall   fleet.Hall
}

// AgentDownMsg reports that the link to an agent is down. The agent's service
// counters are kept.
type AgentDownMsg struct {
	Now   time.Duration
	Agent fleet.Name
}

// PeerUpMsg reports that the link to another hub is up.
type PeerUpMsg struct {
	Now    time.Duration
	Peer   fleet.Name
	Hall   fleet.Hall
	Paired bool // this hub sends the peer the totals of its halls
}

// PeerDownMsg reports that the link to another hub is down.
type PeerDownMsg struct {
	Now  time.Duration
	Peer fleet.Name
}

// ServiceMsg carries the service of one incarnation of an agent, from the agent
// itself or from another hub of its hall.
type ServiceMsg struct {
	Now    time.Duration
	Source Source
	Hall   fleet.Hall
	Rows   []fleet.ServiceRow
}

// HallTotalsMsg carries the service of a hall as reported by another hub.
type HallTotalsMsg struct {
	Now  time.Duration
	Hall fleet.Hall
	Rows []fleet.ServiceRow
}

// TickMsg advances the time. Send it every TickInterval.
type TickMsg struct {
	Now        time.Duration
	ShareEvery time.Duration // time between two rounds of totals
}

// TickInterval is the time between two ticks.
const TickInterval = 50 * time.Millisecond

func (AgentUpMsg) isMsg()    {}
func (AgentDownMsg) isMsg()  {}
func (PeerUpMsg) isMsg()     {}
func (PeerDownMsg) isMsg()   {}
func (ServiceMsg) isMsg()    {}
func (HallTotalsMsg) isMsg() {}
func (TickMsg) isMsg()       {}

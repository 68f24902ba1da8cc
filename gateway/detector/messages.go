package detector

import "time"

// Msg is something that happened. Now is the time since the router's start.
type Msg interface{ isMsg() }

// HeartbeatMsg says that a heartbeat of another router has come.
type HeartbeatMsg struct {
	Now     time.Duration
	Address string
	// Incarnation differs between two lives of a router.
	Incarnation uint32
	// AnswersProbes says that the router answers when it is asked: routers of earlier builds don't.
	AnswersProbes bool
}

// GossipMsg is what another router has told.
type GossipMsg struct {
	Now     time.Duration
	Updates []PeerUpdate
}

// TickMsg comes every TickEvery.
type TickMsg struct {
	Now time.Duration
	// Late says that this router has no processor time: what seems unanswered may only be unread.
	Late bool
}

// ForgetMsg says that a router was not heard of for so long that it is not remembered.
type ForgetMsg struct{ Address string }

func (HeartbeatMsg) isMsg() {}
func (GossipMsg) isMsg()    {}
func (TickMsg) isMsg()      {}
func (ForgetMsg) isMsg()    {}

// Cmd is something to do.
type Cmd interface{ isCmd() }

// ProbeCmd has a router asked to answer at once.
type ProbeCmd struct{ To string }

// IndirectProbeCmd has a router asked to have another one answer to this one.
type IndirectProbeCmd struct{ Via, Target string }

// RefuteCmd has a heartbeat sent at once, since others suspect this router.
type RefuteCmd struct{}

func (ProbeCmd) isCmd()         {}
func (IndirectProbeCmd) isCmd() {}
func (RefuteCmd) isCmd()        {}

// PeerUpdate is what routers tell one another of a third.
type PeerUpdate struct {
	Address     string
	Incarnation uint32
	// Alive says that the router was heard of, Age ago; otherwise it was asked, Age ago, and has
	// not answered.
	Alive bool
	Age   time.Duration
}

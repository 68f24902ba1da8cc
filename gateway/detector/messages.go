package detector

import "time"

// Msg is an event for a Detector. Now is the time since the start of the router.
type Msg interface{ isMsg() }

// HeartbeatMsg reports that a heartbeat of another router has arrived.
type HeartbeatMsg struct {
	Now     time.Duration
	Address string
	// Incarnation changes each time the router starts.
	Incarnation uint32
	// AnswersProbes reports that the router answers probes; routers of earlier builds do not.
	AnswersProbes bool
}

// GossipMsg holds the updates that another router has sent.
type GossipMsg struct {
	Now     time.Duration
	Updates []PeerUpdate
}

// TickMsg is sent every TickInterval.
type TickMsg struct {
	Now time.Duration
	// Late reports that this process is short of CPU time, so that probes may seem unanswered only
	// because the answers have not been read yet.
	Late bool
}

// ForgetMsg removes a router of which no heartbeat has arrived for a long time.
type ForgetMsg struct{ Address string }

func (HeartbeatMsg) isMsg() {}
func (GossipMsg) isMsg()    {}
func (TickMsg) isMsg()      {}
func (ForgetMsg) isMsg()    {}

// Cmd is a command to the caller of Update.
type Cmd interface{ isCmd() }

// ProbeCmd asks for a probe of the router To, which then answers at once.
type ProbeCmd struct{ To string }

// IndirectProbeCmd asks for a probe of Target through the router Via. Target answers to this
// router.
type IndirectProbeCmd struct{ Via, Target string }

// RefuteCmd asks for a heartbeat to be sent at once, because other routers suspect this one.
type RefuteCmd struct{}

func (ProbeCmd) isCmd()         {}
func (IndirectProbeCmd) isCmd() {}
func (RefuteCmd) isCmd()        {}

// PeerUpdate is a report from one router to another about a third one.
type PeerUpdate struct {
	Address     string
	Incarnation uint32
	// Alive reports that the router was known to be alive Age ago. Otherwise it was probed Age ago
	// and has not answered.
	Alive bool
	Age   time.Duration
}

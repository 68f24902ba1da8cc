package direct

import (
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/croftvale/croftvale/rollout"
)

// Msg is anything that a Machine can be told. Now is the time since the process
// started, on its monotonic clock.
type Msg interface{ isMsg() }

// ConfigMsg puts a configuration in force.
type ConfigMsg struct {
	Now    time.Duration
	Config Config
}

// BudgetMsg changes the budget for retries.
type BudgetMsg struct{ Budget BudgetOptions }

// DrainMsg changes how long a server that leaves may get requests after its word; see Options.
type DrainMsg struct{ Drain time.Duration }

// ServersMsg brings a newer list of servers.
type ServersMsg struct {
	Now       time.Duration
	Directory Directory
}

// RegionsMsg says in which region each data hall lies that is known.
type RegionsMsg struct {
	Now   time.Duration
	Halls map[string]string
}

// EvacuationsMsg brings a newer set of evacuated data halls.
type EvacuationsMsg struct {
	Now         time.Duration
	Evacuations Evacuations
}

// QuarantineMsg brings the contents that the store lists as barred.
type QuarantineMsg struct {
	Now    time.Duration
	Listed []quarantine.Fingerprint
}

// GateMsg says which of a service's servers may get requests, by their version.
type GateMsg struct {
	Now  time.Duration
	Gate rollout.Gate
}

// ArriveMsg brings a request.
type ArriveMsg struct {
	Now     time.Duration
	Request Request
}

// DoorMsg asks whether a request would be refused as soon as it came, before its
// router has read the body. A RefuseCmd says so, and the request has been counted;
// without one it has not, and comes as an ArriveMsg.
type DoorMsg struct {
	Now     time.Duration
	Request Request
}

// ShedMsg says that the router refused a request at the door, for want of
// processor time: its team asked for it all the same.
type ShedMsg struct {
	Now          time.Duration
	Team         string
	PromptTokens int
	OutputTokens int
}

// FirstMsg says that the first event of an attempt, or its whole answer, came.
type FirstMsg struct {
	Now time.Duration
	ID  RequestID
}

// NoticeMsg tells what a server said of itself in an answer. It comes before the answer is
// passed on.
type NoticeMsg struct {
	Now    time.Duration
	Server string
	Notice Notice
}

// EndMsg says how an attempt ended. Retry asks for another one; the machine
// answers with a Send, or with a Refuse or Fail.
type EndMsg struct {
	Now     time.Duration
	ID      RequestID
	Outcome Outcome
	Retry   bool
	Refused bool // of what is Unsent: the server's host says that nothing listens there
	Slow    bool // the router itself was late; a silence says nothing of the server
}

// ProbeMsg says whether a server could be reached; see ProbeCmd.
type ProbeMsg struct {
	Now     time.Duration
	Server  string
	Reached bool
	Refused bool // its host says that nothing listens there
	Slow    bool // the router itself was late; a silence says nothing of the server
}

// LeaveMsg says that a waiting request is no longer wanted.
type LeaveMsg struct {
	Now time.Duration
	ID  RequestID
}

// PeerMsg brings what another router does at the moment.
type PeerMsg struct {
	Now    time.Duration
	Peer   string
	Report Report
}

// LoadsMsg brings what all other routers have at the servers; see package loads.
type LoadsMsg struct {
	Now   time.Duration
	Loads []loads.Load
}

// TeamsMsg brings what all other routers see of teams; see package loads.
type TeamsMsg struct {
	Now   time.Duration
	Teams []loads.TeamUse
}

// CopiesMsg brings copies of prompts' parts that other routers have made; see package loads.
type CopiesMsg struct {
	Now    time.Duration
	Copies []loads.Copy
}

// PeersMsg tells how many routers there are, this one included, and how long a
// report of one holds.
type PeersMsg struct {
	Now     time.Duration
	Routers int
	Hold    time.Duration
	// Known counts all routers that may be there, those not heard for a while
	// included, and Rank this router's place among them by address, from 0.
	Known, Rank int
	// Quiet are the data halls of which routers were heard, and none any more.
	Quiet []string
}

// TickMsg lets time pass; send it every TickEvery.
type TickMsg struct{ Now time.Duration }

// TickEvery is the time between two ticks.
const TickEvery = 25 * time.Millisecond

func (ConfigMsg) isMsg()      {}
func (BudgetMsg) isMsg()      {}
func (DrainMsg) isMsg()       {}
func (ServersMsg) isMsg()     {}
func (RegionsMsg) isMsg()     {}
func (EvacuationsMsg) isMsg() {}
func (QuarantineMsg) isMsg()  {}
func (GateMsg) isMsg()        {}
func (ArriveMsg) isMsg()      {}
func (DoorMsg) isMsg()        {}
func (ShedMsg) isMsg()        {}
func (FirstMsg) isMsg()       {}
func (EndMsg) isMsg()         {}
func (NoticeMsg) isMsg()      {}
func (ProbeMsg) isMsg()       {}
func (LeaveMsg) isMsg()       {}
func (PeerMsg) isMsg()        {}
func (LoadsMsg) isMsg()       {}
func (TeamsMsg) isMsg()       {}
func (CopiesMsg) isMsg()      {}
func (PeersMsg) isMsg()       {}
func (TickMsg) isMsg()        {}

// Report is what one router tells the others of itself.
type Report struct {
	Headroom float64 // see Shares
	// Suspects are contents under which servers crashed, SuspectsDigest short sums of those that
	// all routers have to know.
	Suspects       []quarantine.Report
	SuspectsDigest quarantine.Digest
}

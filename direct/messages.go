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

// RetryBudgetMsg changes the budget for retries.
type RetryBudgetMsg struct{ RetryBudget RetryBudgetOptions }

// DrainMsg changes how long a server that leaves may get requests after its word; see Options.
type DrainMsg struct{ Drain time.Duration }

// ServersMsg brings a newer list of servers.
type ServersMsg struct {
	Now       time.Duration
	Directory Directory
}

// HallRegionsMsg says in which region each data hall lies that is known.
type HallRegionsMsg struct {
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
	Now          time.Duration
	Fingerprints []quarantine.Fingerprint
}

// GateMsg says which of a service's servers may get requests, by their version.
type GateMsg struct {
	Now  time.Duration
	Gate rollout.Gate
}

// RequestMsg brings a request.
type RequestMsg struct {
	Now     time.Duration
	Request Request
}

// AdmissionCheckMsg asks whether a request would be refused as soon as it came, before its
// router has read the body. A RefuseCmd says so, and the request has been counted;
// without one it has not, and comes as an ArriveMsg.
type AdmissionCheckMsg struct {
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

// FirstEventMsg says that the first event of an attempt, or its whole answer, came.
type FirstEventMsg struct {
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

// AttemptEndMsg says how an attempt ended. Retry asks for another one; the machine
// answers with a Send, or with a Refuse or Fail.
type AttemptEndMsg struct {
	Now         time.Duration
	ID          RequestID
	Outcome     Outcome
	Retry       bool
	ConnRefused bool // of what is Unsent: the server's host says that nothing listens there
	RouterLate  bool // the router itself was late; a silence says nothing of the server
}

// ProbeResultMsg says whether a server could be reached; see ProbeCmd.
type ProbeResultMsg struct {
	Now         time.Duration
	Server      string
	Reached     bool
	ConnRefused bool // its host says that nothing listens there
	RouterLate  bool // the router itself was late; a silence says nothing of the server
}

// CancelMsg says that a waiting request is no longer wanted.
type CancelMsg struct {
	Now time.Duration
	ID  RequestID
}

// PeerReportMsg brings what another router does at the moment.
type PeerReportMsg struct {
	Now    time.Duration
	Peer   string
	Report Report
}

// PeerLoadsMsg brings what all other routers have at the servers; see package loads.
type PeerLoadsMsg struct {
	Now   time.Duration
	Loads []loads.Load
}

// PeerTeamsMsg brings what all other routers see of teams; see package loads.
type PeerTeamsMsg struct {
	Now   time.Duration
	Teams []loads.TeamUse
}

// PeerCopiesMsg brings copies of prompts' parts that other routers have made; see package loads.
type PeerCopiesMsg struct {
	Now    time.Duration
	Copies []loads.Copy
}

// MembershipMsg tells how many routers there are, this one included, and how long a
// report of one holds.
type MembershipMsg struct {
	Now       time.Duration
	Routers   int
	ReportTTL time.Duration
	// Known counts all routers that may be there, those not heard for a while
	// included, and Rank this router's place among them by address, from 0.
	Known, Rank int
	// SilentHalls are the data halls of which routers were heard, and none any more.
	SilentHalls []string
}

// TickMsg lets time pass; send it every TickEvery.
type TickMsg struct{ Now time.Duration }

// TickInterval is the time between two ticks.
const TickInterval = 25 * time.Millisecond

func (ConfigMsg) isMsg()         {}
func (RetryBudgetMsg) isMsg()    {}
func (DrainMsg) isMsg()          {}
func (ServersMsg) isMsg()        {}
func (HallRegionsMsg) isMsg()    {}
func (EvacuationsMsg) isMsg()    {}
func (QuarantineMsg) isMsg()     {}
func (GateMsg) isMsg()           {}
func (RequestMsg) isMsg()        {}
func (AdmissionCheckMsg) isMsg() {}
func (ShedMsg) isMsg()           {}
func (FirstEventMsg) isMsg()     {}
func (AttemptEndMsg) isMsg()     {}
func (NoticeMsg) isMsg()         {}
func (ProbeResultMsg) isMsg()    {}
func (CancelMsg) isMsg()         {}
func (PeerReportMsg) isMsg()     {}
func (PeerLoadsMsg) isMsg()      {}
func (PeerTeamsMsg) isMsg()      {}
func (PeerCopiesMsg) isMsg()     {}
func (MembershipMsg) isMsg()     {}
func (TickMsg) isMsg()           {}

// Report is what one router tells the others of itself.
type Report struct {
	Headroom float64 // see Shares
	// Suspects are contents under which servers crashed, SuspectsDigest short sums of those that
	// all routers have to know.
	Suspects       []quarantine.Report
	SuspectsDigest quarantine.Digest
}

package direct

import (
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/croftvale/croftvale/rollout"
)

// Msg is an event for a Machine. Its Now is the time since the process started, from the
// monotonic clock.
type Msg interface{ isMsg() }

// ConfigMsg applies a configuration.
type ConfigMsg struct {
	Now    time.Duration
	Config Config
}

// RetryBudgetMsg changes the retry budget.
type RetryBudgetMsg struct{ RetryBudget RetryBudgetOptions }

// DrainMsg changes how long a leaving server may get requests after its notice; see Options.
type DrainMsg struct{ Drain time.Duration }

// ServersMsg delivers a newer list of servers.
type ServersMsg struct {
	Now       time.Duration
	Directory Directory
}

// HallRegionsMsg maps the known data halls to their regions.
type HallRegionsMsg struct {
	Now   time.Duration
	Halls map[string]string
}

// EvacuationsMsg delivers a newer set of evacuated data halls.
type EvacuationsMsg struct {
	Now         time.Duration
	Evacuations Evacuations
}

// QuarantineMsg delivers the fingerprints of a kind that the store lists as barred.
type QuarantineMsg struct {
	Now          time.Duration
	Kind         quarantine.Kind
	Fingerprints []quarantine.Fingerprint
}

// GateMsg sets which of a service's servers may get requests, by their version.
type GateMsg struct {
	Now  time.Duration
	Gate rollout.Gate
}

// RequestMsg delivers a new request.
type RequestMsg struct {
	Now     time.Duration
	Request Request
}

// AdmissionCheckMsg asks, before the router has read the body, whether a request would be
// refused at once. If so, the machine counts the request and returns a RefuseCmd. If not, it
// does not count it, and the router follows up with a RequestMsg.
type AdmissionCheckMsg struct {
	Now     time.Duration
	Request Request
}

// ShedMsg reports that the router has refused a request before reading it, for lack of
// processor time. The request still counts in its team's demand.
type ShedMsg struct {
	Now          time.Duration
	Team         string
	PromptTokens int
	OutputTokens int
}

// FirstEventMsg reports the first event of an attempt, or its whole response.
type FirstEventMsg struct {
	Now time.Duration
	ID  RequestID
	// Streaming reports that the caller is about to get events of a stream. The request is from
	// now on restricted to servers of the same version, as those of others can't continue it.
	Streaming bool
	Version   string // of the server; empty: that of its entry
}

// IncarnationMsg reports whether the connection of an attempt leads to the start of the server that its
// entry names.
type IncarnationMsg struct {
	Now         time.Duration
	ID          RequestID
	Incarnation Incarnation
	NewConn     bool // the connection is new, so it leads to the process that accepts connections now
}

// VersionMsg reports the version of the server that sends a stream, once it has become known.
type VersionMsg struct {
	ID      RequestID
	Version string
}

// NoticeMsg delivers the notice that a server has put into a response. The router sends it
// before it forwards the response.
type NoticeMsg struct {
	Now    time.Duration
	Server string
	Notice Notice
	// OfNextStart reports that the server has restarted and its entry still names its former start. The
	// notice then also holds for the start that is listed next under its name.
	OfNextStart bool
}

// AttemptEndMsg reports the end of an attempt. Retry asks for another one; a SendCmd, RefuseCmd
// or FailCmd follows, possibly after some time in the queue.
type AttemptEndMsg struct {
	Now         time.Duration
	ID          RequestID
	Outcome     Outcome
	Retry       bool
	ConnRefused bool // for the outcome Unsent: the server's host refused the connection
	NotSent     bool // the server failed before the request was sent to it, whatever the outcome
	RouterLate  bool // the router itself was late, so a silence is no evidence against the server
	Unframed    bool // for the outcome Done: the response had neither a length nor chunks, and ended with its connection
}

// ProbeResultMsg reports whether a server was reachable; see ProbeCmd.
type ProbeResultMsg struct {
	Now         time.Duration
	Server      string
	Reached     bool
	ConnRefused bool // the server's host refused the connection
	RouterLate  bool // the router itself was late, so a silence is no evidence against the server
}

// CancelMsg withdraws a waiting request.
type CancelMsg struct {
	Now time.Duration
	ID  RequestID
}

// PeerReportMsg delivers the current report of another router.
type PeerReportMsg struct {
	Now    time.Duration
	Peer   string
	Report Report
}

// PeerLoadsMsg delivers the load that all other routers have at the servers; see package loads.
type PeerLoadsMsg struct {
	Now   time.Duration
	Loads []loads.Load
}

// PeerTeamsMsg delivers the demand and use of teams at all other routers; see package loads.
type PeerTeamsMsg struct {
	Now   time.Duration
	Teams []loads.TeamUse
}

// PeerCopiesMsg delivers copies of prompt parts that other routers have made; see package
// loads.
type PeerCopiesMsg struct {
	Now    time.Duration
	Copies []loads.Copy
}

// MembershipMsg reports the number of routers, including this one, and how long a report of one
// is valid.
type MembershipMsg struct {
	Now       time.Duration
	Routers   int
	ReportTTL time.Duration
	// Known counts all routers that may be running, including those that have been silent for
	// some time. Rank is this router's position among them by address, from 0.
	Known, Rank int
	// SilentHalls are the data halls whose routers have all gone silent.
	SilentHalls []string
}

// TickMsg advances the time. Send it every TickInterval.
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
func (IncarnationMsg) isMsg()    {}
func (VersionMsg) isMsg()        {}
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

// Report holds the state that one router shares with the others.
type Report struct {
	Headroom float64 // see Shares
	// Suspects are fingerprints under which servers have crashed. SuspectsDigest holds short
	// checksums of those that all routers must know.
	Suspects       []quarantine.Report
	SuspectsDigest quarantine.Digest
	// PartSuspects and PartsDigest are the same for prompt parts. HasParts reports that the digest is
	// to be compared: routers of older builds have none, and it is left out while no router knows any.
	HasParts     bool
	PartSuspects []quarantine.Report
	PartsDigest  quarantine.Digest
}

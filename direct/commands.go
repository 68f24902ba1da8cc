package direct

import (
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/croftvale/croftvale/rollout"
)

// Cmd is an action for the router to carry out.
type Cmd interface{ isCmd() }

// SendCmd sends a request to a server.
type SendCmd struct {
	ID             RequestID
	Server         Server
	CrossRegion    bool // the server is in another region
	Attempt        int  // 1 for the first
	PlacementBasis PlacementBasis
}

// PlacementBasis holds the values on which a placement was decided, for the logs.
type PlacementBasis struct {
	Running    int           // requests at the server, from all routers
	Pending    int           // tokens that the server has yet to read, from all routers
	MissTokens int           // tokens of shared parts that the server must read again
	Estimate   time.Duration // expected time to the first event
	QueueWait  time.Duration // time spent in the queue
	Share      float64       // rate of the team as a fraction of its share
	Target     bool          // the server runs the version that is rolled out
	Side       Side          // side of the rollout that the request is placed on; empty: no rollout
}

// RefuseCmd ends a request that has not run.
type RefuseCmd struct {
	ID         RequestID
	Reason     Reason
	RetryAfter time.Duration // when the caller may try again
	Share      float64       // rate of the team as a fraction of its share
}

// FailCmd ends a request whose last attempt may have run.
type FailCmd struct {
	ID     RequestID
	Reason Reason
}

// ServerStatusCmd reports that a server's status has changed in the machine. It is only logged.
type ServerStatusCmd struct {
	Server Server
	Status Status
	Cause  string
	For    time.Duration
}

// EvacuationCmd reports that a data hall is evacuated, or that its evacuation has ended. It is
// only logged.
type EvacuationCmd struct {
	Hall      string
	Evacuated bool
	Revision  uint64 // of the set of evacuations
	Servers   int    // known servers in the hall
}

// HallReachabilityCmd reports that the servers of a data hall are unreachable, or reachable
// again. It is only logged.
type HallReachabilityCmd struct {
	Hall      string
	Lost      bool
	Unreached int // servers found unreachable in a row
	Servers   int // known servers in the hall
}

// CrashCmd reports that a server has crashed, with this router's requests that it had just
// started. It is only logged.
type CrashCmd struct {
	Server   Server
	Suspects []CrashSuspect
}

// QuarantineCmd reports that requests with a content or a prompt part are refused from now on, or no
// longer. It is only logged.
type QuarantineCmd struct{ Change quarantine.Change }

// AbortCmd aborts the attempt of a request that its server has not begun to run. The attempt ends as
// any other whose connection has failed.
type AbortCmd struct{ ID RequestID }

// ReportCmd sends the result of Machine.Report to the other routers at once.
type ReportCmd struct{}

// ProbeCmd opens a connection to a server to check whether it is reachable. A ProbeResultMsg
// returns the result.
type ProbeCmd struct{ Server Server }

// ResponseCmd reports a response from a server of a service that is being rolled out, as
// evidence about its version.
type ResponseCmd struct{ Response rollout.ResponseMsg }

func (ResponseCmd) isCmd()         {}
func (HallReachabilityCmd) isCmd() {}
func (CrashCmd) isCmd()            {}
func (QuarantineCmd) isCmd()       {}
func (ReportCmd) isCmd()           {}
func (AbortCmd) isCmd()            {}
func (ProbeCmd) isCmd()            {}
func (EvacuationCmd) isCmd()       {}
func (SendCmd) isCmd()             {}
func (RefuseCmd) isCmd()           {}
func (FailCmd) isCmd()             {}
func (ServerStatusCmd) isCmd()     {}

// Reason is the reason why a request was refused or failed.
type Reason string

// Values of Reason.
const (
	ReasonNoServers   Reason = "no_servers" // the service has no known server, or none accepts requests at the moment
	ReasonBackoff     Reason = "backoff"    // the servers that could accept requests have asked for a backoff
	ReasonOverload    Reason = "overload"   // no server would meet the objective
	ReasonOverShare   Reason = "over_share" // as overload, for a team above its share
	ReasonAttempts    Reason = "attempts"   // the route's limit of attempts is reached
	ReasonRetryBudget Reason = "budget"     // the retry budget is spent
	ReasonAtMostOnce  Reason = "at_most_once"
	ReasonDeadline    Reason = "deadline"
	ReasonQuarantined Reason = "quarantined" // servers crash when they run requests with its content or a part of its prompt
	ReasonRegion      Reason = "region"      // no server in the request's allowed regions accepts requests
	ReasonEnded       Reason = "ended"       // the request whose backup was asked for has ended
	ReasonVersion     Reason = "version"     // no server of the version that began the stream accepts requests
)

// Status is the status of a server as this router sees it.
type Status string

// Values of Status.
const (
	StatusListed    Status = "listed"
	StatusGone      Status = "gone"
	StatusLapsed    Status = "lapsed" // its entry vanished together with many others; still used for a short time
	StatusDraining  Status = "draining"
	StatusBackoff   Status = "backoff" // asked to get no requests for some time
	StatusEjected   Status = "ejected"
	StatusRestored  Status = "back"
	StatusRestarted Status = "restarted" // its process is newer than its entry, so its version is unknown
	StatusCold      Status = "cold"      // takes only a limited request rate for some time
)

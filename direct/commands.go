package direct

import (
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/croftvale/croftvale/rollout"
)

// Cmd is something that a router has to do.
type Cmd interface{ isCmd() }

// SendCmd sends a request to a server.
type SendCmd struct {
	ID             RequestID
	Server         Server
	CrossRegion    bool // the server is in another region
	Attempt        int  // 1 for the first
	PlacementBasis PlacementBasis
}

// PlacementBasis is what a placement was decided on, for the logs.
type PlacementBasis struct {
	Running    int           // at the server, all routers
	Pending    int           // tokens ahead, all routers
	MissTokens int           // tokens of shared parts that the server must read again
	Estimate   time.Duration // expected time to the first event
	QueueWait  time.Duration // in the queue
	Share      float64       // what the team gets, in parts of its share
	Target     bool          // the server is of the version that the service moves to
	Side       Side          // why; empty: the service does not move
}

// RefuseCmd ends a request that has not run.
type RefuseCmd struct {
	ID         RequestID
	Reason     Reason
	RetryAfter time.Duration // when to come back
	Share      float64       // what the team gets, in parts of its share
}

// FailCmd ends a request whose last attempt may have run.
type FailCmd struct {
	ID     RequestID
	Reason Reason
}

// ServerStatusCmd says that what the machine believes of a server has changed; it
// changes nothing outside and is there to be logged.
type ServerStatusCmd struct {
	Server Server
	Status Status
	Cause  string
	For    time.Duration
}

// EvacuationCmd says that a data hall is evacuated, or no longer; it changes nothing
// outside and is there to be logged.
type EvacuationCmd struct {
	Hall      string
	Evacuated bool
	Revision  uint64 // of the set of evacuations
	Servers   int    // that the machine knows there
}

// HallReachabilityCmd says that the servers of a data hall can't be reached, or can again; it
// changes nothing outside and is there to be logged.
type HallReachabilityCmd struct {
	Hall      string
	Lost      bool
	Unreached int // servers found out of reach in a row
	Servers   int // that the machine knows there
}

// CrashCmd says that a server has crashed and how many requests of this router it had just
// begun to run; it changes nothing outside and is there to be logged.
type CrashCmd struct {
	Server   Server
	Suspects []quarantine.Fingerprint
}

// QuarantineCmd says that requests of a content are refused from now on, or no longer; it
// changes nothing outside and is there to be logged.
type QuarantineCmd struct{ Change quarantine.Change }

// ReportCmd tells other routers at once what Machine.Report returns.
type ReportCmd struct{}

// ProbeCmd opens a connection to a server, to find out whether it can be reached. A
// ProbeMsg tells how it ended.
type ProbeCmd struct{ Server Server }

// ResponseCmd tells of an answer from a server of a service that is being rolled out, for
// the judging of its version.
type ResponseCmd struct{ Response rollout.ResponseMsg }

// MoveCmd breaks off a stream that runs at a server of an old version, so that it goes on
// at one of the target's. An EndMsg with the outcome Moved follows.
type MoveCmd struct{ ID RequestID }

func (ResponseCmd) isCmd()         {}
func (MoveCmd) isCmd()             {}
func (HallReachabilityCmd) isCmd() {}
func (CrashCmd) isCmd()            {}
func (QuarantineCmd) isCmd()       {}
func (ReportCmd) isCmd()           {}
func (ProbeCmd) isCmd()            {}
func (EvacuationCmd) isCmd()       {}
func (SendCmd) isCmd()             {}
func (RefuseCmd) isCmd()           {}
func (FailCmd) isCmd()             {}
func (ServerStatusCmd) isCmd()     {}

// Reason says why a request got no server.
type Reason string

// The reasons.
const (
	ReasonNoServers   Reason = "no_servers" // none of the service is known, or none may get requests at the moment
	ReasonBackoff     Reason = "backoff"    // those that might get requests have asked to be sent none
	ReasonOverload    Reason = "overload"   // no server would meet the objective
	ReasonOverShare   Reason = "over_share" // as overload, for a team above its share
	ReasonAttempts    Reason = "attempts"   // the route allows no further server
	ReasonRetryBudget Reason = "budget"     // the budget for retries is spent
	ReasonAtMostOnce  Reason = "at_most_once"
	ReasonDeadline    Reason = "deadline"
	ReasonQuarantined Reason = "quarantined" // servers crash under its content
	ReasonRegion      Reason = "region"      // no server of the regions that the request may be served in may get requests
)

// Status is what the machine takes a server to be.
type Status string

// The beliefs.
const (
	StatusListed   Status = "listed"
	StatusGone     Status = "gone"
	StatusLapsed   Status = "lapsed" // its entry went with many others; used a little longer
	StatusDraining Status = "draining"
	StatusBackoff  Status = "backoff" // turned a request away, and wants nothing for a time
	StatusEjected  Status = "ejected"
	StatusRestored Status = "back"
	StatusCold     Status = "cold" // bears only few requests a second for a while
)

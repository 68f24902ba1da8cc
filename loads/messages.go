package loads

import (
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// Kind says what a list of loads covers.
type Kind uint8

// The kinds of lists that routers send each other.
const (
	Report Kind = iota + 1 // what the sender has, for its aggregator
	Digest                 // what all but the receiver have, in answer to a report
	Sum                    // what those have that report to the sender
	// The others cover all routers of one region.
	RegionSum     // from the aggregator of the region to one of another, which tells its own
	RegionAnswer  // the same, in answer to a RegionSum
	RegionForward // passed on by that one to the aggregators of its region's other halls
	RegionDigest  // passed on by an aggregator to the routers that report to it
)

// Router is another router that is there.
type Router struct {
	Address string
	Hall    string
	Region  string
	Power   float64 // cores
}

// Msg is anything that an Exchange can be told. Now is the time since the
// process started, on its monotonic clock.
type Msg interface{ isMsg() }

// RoutersMsg says which other routers are there.
type RoutersMsg struct{ Routers []Router }

// ListMsg brings a list from another router. Numbers of one router only rise; a
// list that is not newer than the last of its kind is passed over.
type ListMsg struct {
	Now    time.Duration
	From   string
	Hall   string // of the sender; only where the list tells of teams
	Region string // that the list covers; only where its kind covers one
	Kind   Kind
	Number uint64
	// Base names a full digest: in a report the one that its sender holds, in a digest the
	// one to which Loads are a delta; 0: none.
	Base  uint64
	Loads []Load
	// HasTeams says that the list tells of teams too, as one in some does.
	HasTeams bool
	Teams    []TeamUse
	Rollouts []rollout.Report // as Teams
	Copies   []Copy
}

// TickMsg lets time pass, and tells what this router has; send it every Every, and with
// teams every TeamsEvery.
type TickMsg struct {
	Now      time.Duration
	Own      []Load
	HasTeams bool
	Teams    []TeamUse        // as this router sees them
	Rollouts []rollout.Report // as this router reports them; only with teams
	Copies   []Copy           // that this router has made since the last round
}

func (RoutersMsg) isMsg() {}
func (ListMsg) isMsg()    {}
func (TickMsg) isMsg()    {}

// Cmd is anything that an Exchange wants done.
type Cmd interface{ isCmd() }

// SendCmd sends a list to another router.
type SendCmd struct {
	To       string
	Kind     Kind
	Region   string // that the list covers; only where its kind covers one
	Base     uint64 // see ListMsg
	Loads    []Load
	HasTeams bool
	Teams    []TeamUse
	Rollouts []rollout.Report // only with teams
	Copies   []Copy
}

// PeerTotalsCmd says what all the others have, and now and then what they see of teams.
type PeerTotalsCmd struct {
	Loads    []Load
	HasTeams bool
	Teams    []TeamUse
	Rollouts []rollout.Report // of all others; only with teams
	Copies   []Copy           // that others have made, each told once or a few times
}

func (SendCmd) isCmd()       {}
func (PeerTotalsCmd) isCmd() {}

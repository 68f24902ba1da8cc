package loads

import (
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// Kind is the kind of a list: which routers it covers.
type Kind uint8

// The kinds of lists that routers send to one another.
const (
	Report Kind = iota + 1 // of the sender itself, for its aggregator
	Digest                 // totals of the region's routers other than the receiver, in answer to a report
	Sum                    // totals of the routers that report to the sender, for other aggregators
	// The other kinds cover all routers of one region.
	RegionSum     // from the region's most powerful router to a router of another region, which distributes it there
	RegionAnswer  // totals of the answering router's own region, in answer to a RegionSum
	RegionForward // a list of another region, forwarded to the aggregators of the receiving region's other halls
	RegionDigest  // a list of another region, forwarded by an aggregator to the routers that report to it
)

// Router is a live router.
type Router struct {
	Address string
	Hall    string
	Region  string
	Power   float64 // cores
}

// Msg is a message to an Exchange. Now is the time since the process started, on its monotonic
// clock.
type Msg interface{ isMsg() }

// RoutersMsg holds the other routers that are alive.
type RoutersMsg struct{ Routers []Router }

// ListMsg is a list from another router. Each router numbers its lists in increasing order; a list
// whose number is not higher than that of the last list of its kind is ignored.
type ListMsg struct {
	Now    time.Duration
	From   string
	Hall   string // of the sender; set only if the list carries team usage
	Region string // covered by the list; set only for kinds that cover a region
	Kind   Kind
	Number uint64
	// Base identifies a full digest by its checksum: in a report the one that the sender holds, in
	// a digest the one that Loads are a delta to. 0: none.
	Base  uint64
	Loads []Load
	// HasTeams reports whether the list carries team usage. Only some lists do.
	HasTeams bool
	Teams    []TeamUse
	Rollouts []rollout.Report // set only if HasTeams
	Copies   []Copy
}

// TickMsg starts a round with the current loads of this router. Send one every RoundInterval, and
// set HasTeams every TeamsInterval.
type TickMsg struct {
	Now      time.Duration
	Own      []Load
	HasTeams bool
	Teams    []TeamUse        // as this router observes them
	Rollouts []rollout.Report // reports of this router; set only if HasTeams
	Copies   []Copy           // made through this router since the last round
}

func (RoutersMsg) isMsg() {}
func (ListMsg) isMsg()    {}
func (TickMsg) isMsg()    {}

// Cmd is a command of an Exchange.
type Cmd interface{ isCmd() }

// SendCmd sends a list to another router.
type SendCmd struct {
	To       string
	Kind     Kind
	Region   string // covered by the list; set only for kinds that cover a region
	Base     uint64 // see ListMsg
	Loads    []Load
	HasTeams bool
	Teams    []TeamUse
	Rollouts []rollout.Report // set only if HasTeams
	Copies   []Copy
}

// PeerTotalsCmd returns the total loads of all other routers and, in some rounds, their team usage.
type PeerTotalsCmd struct {
	Loads    []Load
	HasTeams bool
	Teams    []TeamUse
	Rollouts []rollout.Report // of all other routers; set only if HasTeams
	Copies   []Copy           // made through other routers; each is returned once or a few times
}

func (SendCmd) isCmd()       {}
func (PeerTotalsCmd) isCmd() {}

package gateway

import (
	"cmp"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/cluster"
	"github.com/croftvale/croftvale/rollout"
)

// Settings are what a router is started with.
type Settings struct {
	Name    string
	Zone    string
	Region  string  // empty: unknown
	Power   float64 // cores that the process may use
	Address string  // of this host, without a port

	Front   string // callers
	Ready   string // the balancer's question
	Control string // other routers' pulls
	Peers   string // other routers' heartbeats, as datagrams
	Loads   string // other routers' loads, as datagrams
	Metrics string // empty: not served

	Seeds       []string // control addresses of some routers
	FirstStart  bool     // the whole fleet starts for the first time
	MemoryBytes int64
	Descriptors int
	Grace       time.Duration // from the request to end until the end
	Drain       time.Duration // most that a server that leaves may get requests after its word; 0: unknown
	EventDelay  time.Duration // most that a stream's event may take to reach its caller; 0: unknown
	// Evacuate is the most that may pass between the word that a data hall is
	// evacuated and the last request to its servers; 0: no hall is ever evacuated.
	Evacuate time.Duration
	// HallRegions is the region of each data hall that is known.
	HallRegions map[string]string
	Budget      direct.RetryBudgetOptions
	Rollout     rollout.Bounds            // of roll-outs, which are on where there are any
	Without     direct.DisabledMechanisms // mechanisms that are switched off in experiments
}

// ownRegion returns the region of this router, or an empty one where it is not known.
func (s Settings) ownRegion() string { return cmp.Or(s.Region, s.HallRegions[s.Zone]) }

// cluster returns what the router takes part in the fleet with.
func (s Settings) cluster() cluster.Settings {
	return cluster.Settings{
		Self: cluster.Member{Name: s.Name, Address: s.Address}, Hall: s.Zone, Region: s.ownRegion(), Power: s.Power,
		Peers: s.Peers, Loads: s.Loads, Seeds: s.Seeds, FirstStart: s.FirstStart, Without: s.Without,
	}
}

package gateway

import (
	"cmp"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/cluster"
	"github.com/croftvale/croftvale/rollout"
)

// Settings holds the settings of a router.
type Settings struct {
	Name    string
	Zone    string  // data hall of this router
	Region  string  // empty: unknown
	Cores   float64 // processor cores that the process may use
	Address string  // of this host, without a port

	FrontAddress   string // for callers
	ReadyAddress   string // for readiness checks of the balancer
	ControlAddress string // for pulls of other routers
	PeersAddress   string // for heartbeats of other routers, as datagrams
	LoadsAddress   string // for loads of other routers, as datagrams
	OriginsAddress string // for the versions that began streams, as datagrams of other routers
	MetricsAddress string // empty: metrics are not served

	Seeds         []string // control addresses of some routers
	FirstStart    bool     // the whole fleet starts for the first time
	MemoryBytes   int64
	Descriptors   int           // file descriptors that the process may open; 0: unknown
	Grace         time.Duration // from the shutdown request to the end of the process
	MaxDrainTime  time.Duration // longest time that a leaving server gets requests after its notice; 0: unknown
	MaxEventDelay time.Duration // longest time that an event of a stream may take to reach its caller; 0: unknown
	// MaxEvacuationTime is the longest time between the notice that a data hall is
	// evacuated and the last request to its servers; 0: evacuation is disabled.
	MaxEvacuationTime time.Duration
	// HallRegions maps data halls to their regions, as far as these are known.
	HallRegions        map[string]string
	RetryBudget        direct.RetryBudgetOptions
	RolloutBounds      rollout.Bounds            // rollouts are enabled if Share is above 0
	DisabledMechanisms direct.DisabledMechanisms // mechanisms that are switched off in experiments
}

// ownRegion returns the region of this router, or an empty string if it is unknown.
func (s Settings) ownRegion() string { return cmp.Or(s.Region, s.HallRegions[s.Zone]) }

// cluster returns the settings of the router as a member of the cluster.
func (s Settings) cluster() cluster.Settings {
	return cluster.Settings{
		Self: cluster.Member{Name: s.Name, Address: s.Address}, Hall: s.Zone, Region: s.ownRegion(), Power: s.Cores,
		Peers: s.PeersAddress, Loads: s.LoadsAddress, Origins: s.OriginsAddress, Seeds: s.Seeds, FirstStart: s.FirstStart, DisabledMechanisms: s.DisabledMechanisms,
	}
}

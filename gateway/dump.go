package gateway

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/quarantine"
)

// maxDumpedTeams bounds the teams in a dump.
const maxDumpedTeams = 50

// maxDumpedSuspects bounds the request fingerprints in a dump under which servers crashed.
const maxDumpedSuspects = 50

// State is the state of a router as dumps show it.
type State struct {
	Name      string
	Config    uint64
	ConfigAge time.Duration
	Servers   uint64
	// Evacuations is the revision of EvacuatedHalls, 0 if evacuation is disabled.
	Evacuations    uint64
	EvacuatedHalls []string
	Active         int64
	Peers          []string
	Shares         direct.Shares
	Engines        []direct.ServerState
	Dropped        uint64 // log lines that were dropped
	Suspects       []quarantine.State
	// Orders and Versions are the revisions that Rollouts is based on. All three are zero
	// if rollouts are disabled.
	Orders, Versions uint64
	Rollouts         []RolloutState
	// Traffic is the bytes sent and received since the start, by kind.
	Traffic map[string]traffic.Sum
}

// dump returns the state for the admin server.
func (g *Gateway) dump(context.Context) (any, error) {
	feeds := g.feeds
	s := State{
		Name: g.settings.Name, Config: feeds.Config.Revision(), ConfigAge: feeds.Config.Age(),
		Servers: feeds.Servers.Revision(), Evacuations: feeds.Evacuations.Revision(),
		Active: g.front.active.Load(), Dropped: g.log.Dropped(), Peers: g.cluster.Peers.Live(),
		Suspects: g.core.quarantineStates(maxDumpedSuspects),
		Shares:   g.core.shares(maxDumpedTeams), Engines: g.core.serverStates(), Traffic: g.traffic.Sums(),
	}
	if e := feeds.Evacuations.Newest(); e != nil {
		s.EvacuatedHalls = e.Halls
	}
	if g.rollouts != nil {
		s.Orders, s.Versions = feeds.Orders.Revision(), feeds.Records.Revision()
		s.Rollouts = rolloutStates(g.rollouts.Snapshots())
	}
	return s, nil
}

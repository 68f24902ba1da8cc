package cluster

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// Dependencies are what a Cluster stands on.
type Dependencies struct {
	Decisions Decisions
	Feeds     *feed.Set
	Rollouts  Rollouts // nil: they are not on
	Pressure  *pressure.Gauge
	Registry  Registry
	Log       *eventlog.Log
	Stats     *stats.Stats
	Traffic   *traffic.Counter
}

// Cluster is a router's part in the fleet.
type Cluster struct {
	Peers      *Peers
	beats      *transport
	heartbeats *heartbeats
	loads      *loadExchange
	members    members
}

// New opens the sockets for what other routers tell. Newer content of the feeds is told to
// others from now on.
func New(s Settings, parts Dependencies) (*Cluster, error) {
	beats, err := openTransport(s.Peers, traffic.Heartbeats, parts)
	if err != nil {
		return nil, err
	}
	lists, err := openTransport(s.Loads, traffic.Loads, parts)
	if err != nil {
		return nil, err
	}
	s.life = time.Now().UnixNano()
	c := &Cluster{beats: beats, Peers: newPeers(s, parts), loads: newLoadExchange(s, lists, parts)}
	c.Peers.heard = c.loads.routers
	c.heartbeats = newHeartbeats(s, beats, c.Peers, parts)
	c.members = members{
		registry: parts.Registry, self: s.Self, found: func(m Member) { c.Peers.Add(m.Address) },
		heard: c.Peers.HasLivePeers, firstStart: s.FirstStart, era: parts.Feeds.Era, called: parts.Stats.CountSourceCall,
	}
	parts.Feeds.OnChange = c.heartbeats.changed
	return c, nil
}

// ReportNow tells some other routers at once what this one has to report, in place of the next
// heartbeat.
func (c *Cluster) ReportNow() { c.heartbeats.changed() }

// Tasks returns what goes on until a context ends.
func (c *Cluster) Tasks() []func(context.Context) error {
	hear := func(ctx context.Context) error { return c.beats.receive(ctx, c.heartbeats.take) }
	return []func(context.Context) error{
		c.members.follow, c.heartbeats.send, hear, c.heartbeats.detect, c.loads.send, c.loads.receive,
	}
}

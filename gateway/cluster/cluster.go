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
	Peers         *Peers
	heartbeatConn *transport
	heartbeats    *heartbeats
	loads         *loadExchange
	discovery     discovery
}

// New opens the sockets for what other routers tell. Newer content of the feeds is told to
// others from now on.
func New(s Settings, deps Dependencies) (*Cluster, error) {
	heartbeatConn, err := openTransport(s.Peers, traffic.Heartbeats, deps)
	if err != nil {
		return nil, err
	}
	loadConn, err := openTransport(s.Loads, traffic.Loads, deps)
	if err != nil {
		return nil, err
	}
	s.startNanos = time.Now().UnixNano()
	c := &Cluster{heartbeatConn: heartbeatConn, Peers: newPeers(s, deps), loads: newLoadExchange(s, loadConn, deps)}
	c.Peers.onLive = c.loads.setRouters
	c.heartbeats = newHeartbeats(s, heartbeatConn, c.Peers, deps)
	c.discovery = discovery{
		registry: deps.Registry, self: s.Self, onMember: func(m Member) { c.Peers.Add(m.Address) },
		heardAny: c.Peers.HeardAny, firstStart: s.FirstStart, era: deps.Feeds.Era, countCall: deps.Stats.CountSourceCall,
	}
	deps.Feeds.Changed = c.heartbeats.sendNow
	return c, nil
}

// ReportNow tells some other routers at once what this one has to report, in place of the next
// heartbeat.
func (c *Cluster) ReportNow() { c.heartbeats.sendNow() }

// Tasks returns what goes on until a context ends.
func (c *Cluster) Tasks() []func(context.Context) error {
	receive := func(ctx context.Context) error { return c.heartbeatConn.receive(ctx, c.heartbeats.receive) }
	return []func(context.Context) error{
		c.discovery.run, c.heartbeats.send, receive, c.heartbeats.runDetector, c.loads.send, c.loads.receive,
	}
}

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

// Dependencies are the components that a Cluster uses.
type Dependencies struct {
	StateMachine StateMachine
	Feeds        *feed.Set
	Rollouts     Rollouts // nil if rollouts are disabled
	Pressure     *pressure.Gauge
	Registry     Registry
	Versions     StoredVersions
	ServerList   ServerList
	Log          *eventlog.Log
	Stats        *stats.Stats
	Traffic      *traffic.Counter
}

// Cluster connects a router to the other routers of the fleet.
type Cluster struct {
	Peers         *Peers
	Origins       *Origins
	heartbeatConn *transport
	heartbeats    *heartbeats
	loads         *loadExchange
	discovery     discovery
}

// New opens the sockets for datagrams from other routers. From now on, newer content of the feeds
// is announced to them.
func New(s Settings, deps Dependencies) (*Cluster, error) {
	heartbeatConn, err := openTransport(s.Peers, traffic.Heartbeats, deps)
	if err != nil {
		return nil, err
	}
	loadConn, err := openTransport(s.Loads, traffic.Loads, deps)
	if err != nil {
		return nil, err
	}
	originConn, err := openTransport(s.Origins, traffic.Origins, deps)
	if err != nil {
		return nil, err
	}
	s.startNanos = time.Now().UnixNano()
	c := &Cluster{heartbeatConn: heartbeatConn, Peers: newPeers(s, deps), loads: newLoadExchange(s, loadConn, deps)}
	c.Origins = newOrigins(s, originConn, c.Peers, deps)
	c.Peers.onLive, c.Peers.onOrigins, c.Peers.onContactLost = c.loads.setRouters, c.Origins.setRouters, c.Origins.contactLost
	c.heartbeats = newHeartbeats(s, heartbeatConn, c.Peers, deps)
	c.discovery = discovery{
		registry: deps.Registry, self: s.Self, onMember: func(m Member) { c.Peers.Add(m.Address) },
		hasLivePeers: c.Peers.HasLivePeers, firstStart: s.FirstStart, era: deps.Feeds.Era, countCall: deps.Stats.CountSourceCall,
	}
	deps.Feeds.OnChange = c.heartbeats.sendNow
	return c, nil
}

// ReportNow sends a heartbeat to some other routers at once, ahead of schedule.
func (c *Cluster) ReportNow() { c.heartbeats.sendNow() }

// Tasks returns the tasks of the cluster, each of which runs until its context ends.
func (c *Cluster) Tasks() []func(context.Context) error {
	receive := func(ctx context.Context) error { return c.heartbeatConn.receive(ctx, c.heartbeats.receive) }
	return []func(context.Context) error{
		c.discovery.run, c.heartbeats.send, receive, c.heartbeats.runDetector, c.loads.send, c.loads.receive, c.Origins.tick, c.Origins.receive,
	}
}

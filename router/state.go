package router

import (
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
)

// State holds the state dump of a router.
type State struct {
	Name          fleet.Name         `json:"name"`
	Hall          fleet.Hall         `json:"hall"`
	Role          string             `json:"role"`
	Incarnation   fleet.Incarnation  `json:"incarnation"`
	Generation    fleet.Generation   `json:"generation"`
	Digest        string             `json:"digest"`
	Leaving       bool               `json:"leaving"`
	Waiting       int                `json:"waiting"`
	Unfinished    int                `json:"open"` // requests that wait or run
	HubOf         []fleet.Hall       `json:"hub_of"`
	PlatformOK    bool               `json:"platform_ok"`
	PlatformCalls int64              `json:"platform_calls"`
	Queues        []fleet.QueueCount `json:"lines"`
	Hosts         []fleet.Name       `json:"hosts"` // in the last list from the platform
	Peers         []PeerState        `json:"peers"`
	Service       []ServiceState     `json:"service"`
	Traffic       []link.Traffic     `json:"traffic"`
}

// PeerState describes one link in a State.
type PeerState struct {
	Name       fleet.Name       `json:"name"`
	Role       string           `json:"role"`
	Hall       fleet.Hall       `json:"hall"`
	Remote     string           `json:"remote"`
	Generation fleet.Generation `json:"generation"`
	Serving    bool             `json:"serving"`
	Leaving    bool             `json:"leaving"`
}

// ServiceState holds one team's service in the whole fleet, as aggregated by this
// hub. Both times are in milliseconds.
type ServiceState struct {
	Team      fleet.Team `json:"team"`
	ServiceMS int64      `json:"service_ms"`
	LiftMS    int64      `json:"lift_ms"`
}

// state returns the core's state dump.
func (c *core) state() State {
	s := State{
		Name: c.settings.Name, Hall: c.settings.Hall, Role: "router",
		Incarnation: c.incarnation, Generation: c.active.Generation(), Digest: string(c.active.Order.Digest),
		Leaving: c.leaving, Waiting: c.queue.Waiting(), Unfinished: c.queue.Unfinished(),
		PlatformOK: c.platform.reachable.Load(), PlatformCalls: c.platform.client.Calls(),
		Queues: c.queue.Queues(c.now()), Traffic: c.meter.Snapshot(),
	}
	for hall := range c.assignment.hubs {
		if c.assignment.isHub(hall, c.settings.Name) {
			s.HubOf = append(s.HubOf, hall)
		}
	}
	for _, h := range c.hosts {
		s.Hosts = append(s.Hosts, h.Name)
	}
	for name, p := range c.peers {
		s.Peers = append(s.Peers, PeerState{
			Name: name, Role: string(p.conn.Peer.Role), Hall: p.conn.Peer.Hall, Remote: p.conn.Remote,
			Generation: p.lastHeartbeat.Generation, Serving: p.lastHeartbeat.Serving, Leaving: p.lastHeartbeat.Leaving,
		})
	}
	for _, row := range c.hub.Totals() {
		s.Service = append(s.Service, ServiceState{
			Team: row.Team, ServiceMS: row.Service.Milliseconds(), LiftMS: row.Lift.Milliseconds(),
		})
	}
	return s
}

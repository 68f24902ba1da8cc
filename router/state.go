package router

import (
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
)

// State is the dump of a router.
type State struct {
	Name          fleet.Name         `json:"name"`
	Hall          fleet.Hall         `json:"hall"`
	Role          string             `json:"role"`
	Incarnation   fleet.Incarnation  `json:"incarnation"`
	Generation    fleet.Generation   `json:"generation"`
	Digest        string             `json:"digest"`
	Leaving       bool               `json:"leaving"`
	Waiting       int                `json:"waiting"`
	Open          int                `json:"open"`
	HubOf         []fleet.Hall       `json:"hub_of"`
	PlatformOK    bool               `json:"platform_ok"`
	PlatformCalls int64              `json:"platform_calls"`
	Lines         []fleet.QueueCount `json:"lines"`
	Hosts         []fleet.Name       `json:"hosts"` // by the platform's last list
	Peers         []PeerState        `json:"peers"`
	Service       []ServiceState     `json:"service"`
	Traffic       []link.Traffic     `json:"traffic"`
}

// PeerState is one link in a dump.
type PeerState struct {
	Name       fleet.Name       `json:"name"`
	Role       string           `json:"role"`
	Hall       fleet.Hall       `json:"hall"`
	Remote     string           `json:"remote"`
	Generation fleet.Generation `json:"generation"`
	Serving    bool             `json:"serving"`
	Leaving    bool             `json:"leaving"`
}

// ServiceState is one team's service in the fleet, as a hub knows it.
type ServiceState struct {
	Team      fleet.Team `json:"team"`
	ServiceMS int64      `json:"service_ms"`
	LiftMS    int64      `json:"lift_ms"`
}

// state returns the dump.
func (c *core) state() State {
	s := State{
		Name: c.settings.Name, Hall: c.settings.Hall, Role: "router",
		Incarnation: c.incarnation, Generation: c.inForce.Generation(), Digest: string(c.inForce.Order.Digest),
		Leaving: c.leaving, Waiting: c.queue.Waiting(), Open: c.queue.Unfinished(),
		PlatformOK: c.platform.ok.Load(), PlatformCalls: c.platform.client.Calls(),
		Lines: c.queue.Queues(c.now()), Traffic: c.meter.Snapshot(),
	}
	for hall := range c.duty.hubs {
		if c.duty.isHub(hall, c.settings.Name) {
			s.HubOf = append(s.HubOf, hall)
		}
	}
	for _, h := range c.hosts {
		s.Hosts = append(s.Hosts, h.Name)
	}
	for name, p := range c.peers {
		s.Peers = append(s.Peers, PeerState{
			Name: name, Role: string(p.conn.Peer.Role), Hall: p.conn.Peer.Hall, Remote: p.conn.Remote,
			Generation: p.last.Generation, Serving: p.last.Serving, Leaving: p.last.Leaving,
		})
	}
	for _, row := range c.hub.Totals() {
		s.Service = append(s.Service, ServiceState{
			Team: row.Team, ServiceMS: row.Service.Milliseconds(), LiftMS: row.Lift.Milliseconds(),
		})
	}
	return s
}

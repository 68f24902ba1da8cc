package router

import (
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/queue"
)

// State is the dump of a router.
type State struct {
	Name          fleet.Name        `json:"name"`
	Hall          fleet.Hall        `json:"hall"`
	Role          string            `json:"role"`
	Incarnation   fleet.Incarnation `json:"incarnation"`
	Generation    fleet.Generation  `json:"generation"`
	Digest        string            `json:"digest"`
	Leaving       bool              `json:"leaving"`
	Waiting       int               `json:"waiting"`
	Open          int               `json:"open"`
	HubOf         []fleet.Hall      `json:"hub_of"`
	PlatformOK    bool              `json:"platform_ok"`
	PlatformCalls int64             `json:"platform_calls"`
	Lines         []queue.Count     `json:"lines"`
	Peers         []PeerState       `json:"peers"`
	Service       []ServiceState    `json:"service"`
	Traffic       []link.Traffic    `json:"traffic"`
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

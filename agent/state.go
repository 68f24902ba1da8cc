package agent

import (
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/sched"
)

// State holds the state dump of an agent.
type State struct {
	Name        fleet.Name        `json:"name"`
	Hall        fleet.Hall        `json:"hall"`
	Role        string            `json:"role"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Generation  fleet.Generation  `json:"generation"`
	Serving     bool              `json:"serving"`
	Leaving     bool              `json:"leaving"`
	Slots       int               `json:"slots"`
	Running     int               `json:"running"`
	Held        int               `json:"held"`
	Server      Load              `json:"server"` // as reported by the last probe
	Keys        int               `json:"keys"`   // number of idempotency keys in the key table
	Routers     []PeerState       `json:"routers"`
	Teams       []sched.TeamState `json:"teams"`
	Traffic     []link.Traffic    `json:"traffic"`
}

// PeerState describes one link in a State.
type PeerState struct {
	Name       fleet.Name       `json:"name"`
	Remote     string           `json:"remote"`
	Hall       fleet.Hall       `json:"hall"`
	Generation fleet.Generation `json:"generation"`
	Hub        bool             `json:"hub"`
}

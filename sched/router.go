package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// routerView is what an agent knows of one router, and what a hub was sent.
type routerView struct {
	name        fleet.Name
	hub         bool
	fresh       bool // the hub has been sent nothing yet
	announced   int  // idle slots that the router still believes in
	announcedAt time.Duration
	sent        map[fleet.Team]ServiceRow
	sentAt      time.Duration
}

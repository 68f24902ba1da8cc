package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// routerView is what an agent knows of one router, and what a hub was sent.
type routerView struct {
	name        fleet.Name
	hub         bool
	nothingSent bool // the hub has been sent nothing yet
	openClaims  openClaims
	announcedAt time.Duration
	suspended   bool // it leaves claims unanswered
	sent        map[fleet.Team]fleet.ServiceRow
	sentAt      time.Duration
}

// setSuspended stops or resumes claims from a router. A router that is cut off or
// frozen would else hold this agent's slots with claims that it never sees.
func (m *Machine) setSuspended(r *routerView, suspended bool) {
	if r.suspended == suspended {
		return
	}
	r.suspended = suspended
	for _, t := range m.teams {
		for _, l := range t.queues {
			l.setSuspended(r.name, suspended)
		}
	}
}

// resumeRouter notes that a router has answered.
func (m *Machine) resumeRouter(name fleet.Name) {
	if r, _, ok := m.router(name); ok {
		m.setSuspended(r, false)
	}
}

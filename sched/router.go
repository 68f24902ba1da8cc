package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// routerView holds an agent's state for one router, including the service rows
// last sent to it if it is a hub.
type routerView struct {
	name        fleet.Name
	hub         bool
	nothingSent bool // the hub has received no service message yet
	openClaims  openClaims
	announcedAt time.Duration                   // when it was last sent open claims
	suspended   bool                            // the router does not answer claims
	sent        map[fleet.Team]fleet.ServiceRow // rows last sent, by team
	sentAt      time.Duration                   // when it was last sent service rows
}

// setSuspended stops or resumes claiming from a router. Without it, a router
// that is cut off or frozen would hold this agent's slots with claims that it
// never receives.
func (m *Machine) setSuspended(r *routerView, suspended bool) {
	if r.suspended == suspended {
		return
	}
	r.suspended = suspended
	for _, t := range m.teams {
		for _, q := range t.queues {
			q.setSuspended(r.name, suspended)
		}
	}
}

// resumeRouter resumes claiming from a router that has answered.
func (m *Machine) resumeRouter(name fleet.Name) {
	if r, _, ok := m.router(name); ok {
		m.setSuspended(r, false)
	}
}

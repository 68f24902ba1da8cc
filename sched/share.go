package sched

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// mergeTotals merges the service of the rest of the fleet. Rows only grow, so a
// late or repeated row does no harm.
func (m *Machine) mergeTotals(msg TotalsMsg) {
	if m.cfg.Mode == ModeLocal {
		return
	}
	for _, row := range msg.Rows {
		t := m.team(msg.Now, row.Team)
		if row.Service > t.others {
			t.others = row.Service
			t.lastActive = msg.Now
		}
		t.lift = max(t.lift, row.Lift)
	}
}

// sampleService notes every team's own service at even intervals.
func (m *Machine) sampleService(now time.Duration) {
	if now-m.sampledAt < m.cfg.ShareEvery/samplesPerShare {
		return
	}
	m.sampledAt = now
	for _, t := range m.teams {
		t.sample()
	}
}

// tick accrues charges, ends claims that brought nothing, claims for idle
// slots and sends service to the hubs when it is due.
func (m *Machine) tick(msg TickMsg) []Command {
	m.accrue(msg.Now)
	m.sampleService(msg.Now)
	m.expireClaims(msg.Now)
	m.dropStaleOpenClaims()
	cmds := m.claimWork(msg.Now)
	for _, r := range m.routers {
		if !r.hub {
			continue
		}
		if rows, ok := m.dueRows(msg.Now, r); ok {
			cmds = append(cmds, ServiceCmd{Router: r.name, Rows: rows})
		}
	}
	return cmds
}

// expireClaims suspends routers that leave claims unanswered, and ends the
// claims.
func (m *Machine) expireClaims(now time.Duration) {
	var expired []uint64
	for seq, r := range m.claims {
		if r.state != claimPending || now-r.claimedAt < claimResponseTimeout {
			continue
		}
		if v, _, ok := m.router(r.router); ok {
			m.setSuspended(v, true)
		}
		if now-r.claimedAt >= claimTimeout {
			expired = append(expired, seq)
		}
	}
	slices.Sort(expired)
	for _, seq := range expired {
		m.dropPending(m.claims[seq])
	}
}

// dropStaleOpenClaims drops used open claims that no router holds any more: an arrival
// with one of them is rejected without them.
func (m *Machine) dropStaleOpenClaims() {
	for seq := range m.usedOpenClaims {
		held := slices.ContainsFunc(m.routers, func(r *routerView) bool { return r.openClaims.has(seq) })
		if !held {
			delete(m.usedOpenClaims, seq)
		}
	}
}

// dueRows returns the rows that a hub should have now: all that changed once
// ShareEvery has passed, and before that all once one team's unsent service
// passes Delta. A new hub hears at once, even of nothing: it says nothing to
// an agent whose own part it does not know. The hubs hear in turn: each gets
// half of the messages, and the fleet hears as often.
func (m *Machine) dueRows(now time.Duration, r *routerView) ([]fleet.ServiceRow, bool) {
	rows, largest := m.unsentRows(r)
	late := now-r.sentAt >= m.cfg.ShareEvery || largest >= m.cfg.Delta
	late = late && now-m.serviceSentAt >= m.cfg.ShareEvery/time.Duration(max(m.hubCount(), 1))
	due := r.nothingSent || (late && len(rows) > 0)
	if !due {
		return nil, false
	}
	for _, row := range rows {
		r.sent[row.Team] = row
	}
	r.nothingSent = false
	r.sentAt = now
	m.serviceSentAt = now
	return rows, true
}

func (m *Machine) hubCount() int {
	n := 0
	for _, r := range m.routers {
		if r.hub {
			n++
		}
	}
	return n
}

// unsentRows returns the rows that differ from what a hub was sent, and the most
// service that one of them adds.
func (m *Machine) unsentRows(r *routerView) ([]fleet.ServiceRow, time.Duration) {
	var rows []fleet.ServiceRow
	var largest time.Duration
	for _, t := range m.teams {
		t.reported = max(t.reported, t.own)
		row := fleet.ServiceRow{Team: t.name, Service: t.reported, Lift: t.lift}
		old := r.sent[t.name]
		old.Team = t.name
		if row == old {
			continue
		}
		rows = append(rows, row)
		largest = max(largest, row.Service-old.Service)
	}
	return rows, largest
}

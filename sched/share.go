package sched

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// mergeTotals merges the service of the rest of the fleet. Counters only grow,
// so a late or repeated row has no effect.
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

// sampleService samples the service that this agent has given every team,
// samplesPerShare times per ShareEvery.
func (m *Machine) sampleService(now time.Duration) {
	if now-m.sampledAt < m.cfg.ShareEvery/samplesPerShare {
		return
	}
	m.sampledAt = now
	for _, t := range m.teams {
		t.sample()
	}
}

// tick accrues charges, expires unanswered claims, claims work for idle slots
// and sends service to the hubs when it is due.
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

// expireClaims suspends routers with a claim unanswered for
// claimResponseTimeout and ends claims unanswered for claimTimeout.
func (m *Machine) expireClaims(now time.Duration) {
	var expired []uint64
	for seq, c := range m.claims {
		if c.state != claimPending || now-c.claimedAt < claimResponseTimeout {
			continue
		}
		if r, _, ok := m.router(c.router); ok {
			m.setSuspended(r, true)
		}
		if now-c.claimedAt >= claimTimeout {
			expired = append(expired, seq)
		}
	}
	slices.Sort(expired)
	for _, seq := range expired {
		m.dropPending(m.claims[seq])
	}
}

// dropStaleOpenClaims removes used open claims that are no longer in the range
// of any router. An arrival with such a claim is rejected as unknown.
func (m *Machine) dropStaleOpenClaims() {
	for seq := range m.usedOpenClaims {
		held := slices.ContainsFunc(m.routers, func(r *routerView) bool { return r.openClaims.has(seq) })
		if !held {
			delete(m.usedOpenClaims, seq)
		}
	}
}

// dueRows returns the rows to send to a hub now and reports whether a message is
// due. All changed rows are due once ShareEvery has passed since the last
// message to the hub, or earlier once one team's unsent service reaches Delta.
//
// A new hub gets a message immediately, even without rows, because a hub sends
// no totals to an agent whose own service it does not know. Other messages are
// at least ShareEvery divided by the number of hubs apart, so the hubs take
// turns: each of two hubs gets half of the messages, and the fleet is updated as
// often as with one hub.
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

// unsentRows returns the rows that differ from those last sent to a hub, and the
// largest unsent service of any one team.
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

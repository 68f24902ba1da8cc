package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// claimWork claims requests until the slots and the claim-ahead allowance are
// used, and announces idle slots to the routers if there is no known demand.
func (m *Machine) claimWork(now time.Duration) []Command {
	if !m.serving || m.leaving {
		return nil
	}
	var cmds []Command
	for m.claimsAvailable() > 0 {
		c, ok := m.claimOne(now)
		if !ok {
			break
		}
		cmds = append(cmds, c)
	}
	return append(cmds, m.announceIdleSlots(now)...)
}

// claimsAvailable returns the number of further claims that the agent may make.
func (m *Machine) claimsAvailable() int {
	return m.cfg.Slots + m.cfg.ClaimAhead - m.running - len(m.ready) - m.pendingClaims
}

// idleSlots returns the number of slots that have neither a request nor a
// pending claim.
func (m *Machine) idleSlots() int {
	return m.cfg.Slots - m.running - len(m.ready) - m.pendingClaims
}

func (m *Machine) claimOne(now time.Duration) (ClaimCmd, bool) {
	t := m.pickTeam()
	if t == nil {
		return ClaimCmd{}, false
	}
	q, r := t.nextQueue()
	if r == nil {
		return ClaimCmd{}, false
	}
	q.decrement(r)
	m.seq++
	m.newClaim(now, m.seq, r.router, q.key)
	return ClaimCmd{Router: r.router, Seq: m.seq, Key: q.key}, true
}

// pickTeam returns the team to serve next, or nil if there is no known demand.
func (m *Machine) pickTeam() *team {
	if m.cfg.Mode == ModeFIFO {
		return m.pickOldest()
	}
	return m.pickLeastVirtual()
}

// pickLeastVirtual returns the waiting team with the least expected virtual
// service. A team with urgent work is ranked as if it had received UrgentBorrow
// less. Urgent work therefore runs ahead of its turn by a bounded amount, and a
// team that marks all its work urgent gains no lasting share.
func (m *Machine) pickLeastVirtual() *team {
	var best *team
	var bestRank, least, most time.Duration
	for _, t := range m.teams {
		if t.waiting() == 0 {
			continue
		}
		v := t.virtualService()
		rank := t.expectedVirtualService()
		if t.hasUrgent() {
			rank -= m.cfg.UrgentBorrow
		}
		if best == nil {
			least, most = v, v
		}
		least, most = min(least, v), max(most, v)
		if best == nil || rank < bestRank {
			best, bestRank = t, rank
		}
	}
	if best == nil {
		return nil
	}
	m.virtualFloor = max(m.virtualFloor, least)
	m.capDeficits(most)
	return best
}

// capDeficits lifts each waiting team that is more than CatchUp behind most, the
// largest virtual service of a waiting team. After a partition heals, a team
// that received less service is repaid at most CatchUp, so the others do not
// wait for long.
func (m *Machine) capDeficits(most time.Duration) {
	if m.cfg.CatchUp <= 0 {
		return
	}
	for _, t := range m.teams {
		if t.waiting() == 0 {
			continue
		}
		if behind := most - t.virtualService() - m.cfg.CatchUp; behind > 0 {
			t.lift += behind
		}
	}
}

// pickOldest returns the team with the longest-waiting request.
func (m *Machine) pickOldest() *team {
	var best *team
	var bestOldest time.Duration
	for _, t := range m.teams {
		for _, q := range t.queues {
			d := q.oldest()
			if d == nil {
				continue
			}
			if best == nil || d.oldest < bestOldest {
				best, bestOldest = t, d.oldest
			}
		}
	}
	return best
}

// liftIdle raises the virtual service of a team that returns from idle to
// virtualFloor, the level of the other teams, so that idle time earns no credit.
func (m *Machine) liftIdle(now time.Duration, t *team) {
	idle := t.waiting() == 0 && t.running == 0 && now-t.lastActive >= idleAfter
	if !idle || m.cfg.Mode == ModeFIFO {
		return
	}
	if behind := m.virtualFloor - t.virtualService(); behind > 0 {
		t.lift += behind
	}
}

// announceIdleSlots grants routers open claims on idle slots if there is no
// known demand. A router gets new open claims once it has used its previous
// ones, or after reannounceAfter in case some were lost.
func (m *Machine) announceIdleSlots(now time.Duration) []Command {
	idle := m.idleSlots()
	if idle <= 0 || m.hasDemand() {
		return nil
	}
	var cmds []Command
	for _, r := range m.routers {
		if r.openClaims.remaining() > 0 && now-r.announcedAt < reannounceAfter {
			continue
		}
		r.openClaims = openClaims{first: m.seq + 1, end: m.seq + 1 + uint64(idle)}
		r.announcedAt = now
		m.seq += uint64(idle)
		cmds = append(cmds, FreeCmd{Router: r.name, Slots: idle, First: r.openClaims.first})
	}
	return cmds
}

func (m *Machine) hasDemand() bool {
	for _, t := range m.teams {
		if t.waiting() > 0 {
			return true
		}
	}
	return false
}

// claimRouter returns the router that a claim was sent to and reports whether
// the link to it is up.
func (m *Machine) claimRouter(c *claim) (fleet.Name, bool) {
	_, _, ok := m.router(c.router)
	return c.router, ok
}

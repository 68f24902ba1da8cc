package sched

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// claimWork claims work for every slot that is or will soon be free, and tells
// routers of slots for which no work is known.
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

// claimsAvailable returns how many more claims the agent may make.
func (m *Machine) claimsAvailable() int {
	return m.cfg.Slots + m.cfg.ClaimAhead - m.running - len(m.ready) - m.pendingClaims
}

// idleSlots returns how many slots nothing is claimed for.
func (m *Machine) idleSlots() int {
	return m.cfg.Slots - m.running - len(m.ready) - m.pendingClaims
}

func (m *Machine) claimOne(now time.Duration) (ClaimCmd, bool) {
	t := m.pickTeam()
	if t == nil {
		return ClaimCmd{}, false
	}
	l, s := t.nextQueue()
	if s == nil {
		return ClaimCmd{}, false
	}
	l.decrement(s)
	m.seq++
	m.newClaim(now, m.seq, s.router, l.key)
	return ClaimCmd{Router: s.router, Seq: m.seq, Key: l.key}, true
}

// pickTeam returns the team to serve next, or nil if no work is known.
func (m *Machine) pickTeam() *team {
	if m.cfg.Mode == ModeFIFO {
		return m.pickOldest()
	}
	return m.pickLeastVirtual()
}

// pickLeastVirtual returns the waiting team with the least virtual service. Urgent
// work counts as if its team had had UrgentBorrow less: it goes ahead of its
// turn by a bounded amount and no further, so marking all work urgent gains
// no lasting share.
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

// capDeficits forgives what no team should wait for: after a partition heals,
// a team that had less service is repaid at most CatchUp ahead of the others.
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

// pickOldest returns the team whose request has waited longest.
func (m *Machine) pickOldest() *team {
	var best *team
	var bestOldest time.Duration
	for _, t := range m.teams {
		for _, l := range t.queues {
			s := l.oldest()
			if s == nil {
				continue
			}
			if best == nil || s.oldest < bestOldest {
				best, bestOldest = t, s.oldest
			}
		}
	}
	return best
}

// liftIdle brings a team that has been idle up to the others' service, so that
// idling earns no credit.
func (m *Machine) liftIdle(now time.Duration, t *team) {
	idle := t.waiting() == 0 && t.running == 0 && now-t.lastActive >= idleAfter
	if !idle || m.cfg.Mode == ModeFIFO {
		return
	}
	if behind := m.virtualFloor - t.virtualService(); behind > 0 {
		t.lift += behind
	}
}

// announceIdleSlots gives routers open claims on idle slots: each router once until it
// has used them up, and again after a while in case some were lost.
func (m *Machine) announceIdleSlots(now time.Duration) []Command {
	idle := m.idleSlots()
	if idle <= 0 || m.hasWork() {
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

func (m *Machine) hasWork() bool {
	for _, t := range m.teams {
		if t.waiting() > 0 {
			return true
		}
	}
	return false
}

// claimRouter returns the router that a claim went to, if its link stands.
func (m *Machine) claimRouter(r *claim) (fleet.Name, bool) {
	_, _, ok := m.router(r.router)
	return r.router, ok
}

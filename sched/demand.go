package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// demand takes a router's counts. Counts from a router whose link is gone are
// late and would never be corrected, so they are dropped.
func (m *Machine) demand(msg DemandMsg) {
	r, _, ok := m.router(msg.Router)
	if !ok {
		return
	}
	m.suspend(r, false)
	for _, c := range msg.Counts {
		m.setCount(msg.Now, msg.Router, c)
	}
}

func (m *Machine) setCount(now time.Duration, router fleet.Name, c fleet.Count) {
	if !m.cfg.runs(c.Key.Work) {
		return
	}
	t := m.team(now, c.Key.Team)
	if c.Waiting > 0 {
		m.liftIdle(now, t)
		t.active = now
	}
	t.alike = max(t.alike, m.cfg.PeerSlotRatio[c.Key.Work])
	l := t.line(c.Key)
	l.set(router, c.Waiting, now-c.OldestAge)
	if r, _, ok := m.router(router); ok && r.suspended {
		l.suspend(router, true)
	}
}

// line returns the team's line of a key, making it where there is none.
func (t *team) line(k fleet.DemandKey) *line {
	i, ok := slices.BinarySearchFunc(t.lines, k, func(l *line, k fleet.DemandKey) int {
		return cmp.Or(cmp.Compare(l.key.Class, k.Class), cmp.Compare(l.key.Work, k.Work))
	})
	if !ok {
		t.lines = slices.Insert(t.lines, i, &line{key: k})
	}
	return t.lines[i]
}

// deny ends a claim that found its line empty.
func (m *Machine) deny(msg DenyMsg) {
	r, ok := m.runs[msg.Seq]
	if !ok || r.state != runClaimed {
		return
	}
	m.dropClaim(r)
	m.heard(r.router)
	if src, known := m.claimRouter(r); known {
		m.setCount(msg.Now, src, msg.Count)
	}
}

// dropClaim forgets a claim with which nothing came.
func (m *Machine) dropClaim(r *run) {
	m.claimed--
	m.byName[r.key.Team].pending -= r.estimate
	delete(m.runs, r.seq)
}

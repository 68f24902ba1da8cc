package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// applyDemand takes a router's counts. Counts from a router whose link is gone are
// late and would never be corrected, so they are dropped.
func (m *Machine) applyDemand(msg DemandMsg) {
	r, _, ok := m.router(msg.Router)
	if !ok {
		return
	}
	m.setSuspended(r, false)
	for _, c := range msg.Counts {
		m.setCount(msg.Now, msg.Router, c)
	}
}

func (m *Machine) setCount(now time.Duration, router fleet.Name, c fleet.Count) {
	if !m.cfg.canRun(c.Key.Work) {
		return
	}
	t := m.team(now, c.Key.Team)
	if c.Waiting > 0 {
		m.liftIdle(now, t)
		t.lastActive = now
	}
	t.peerSlotRatio = max(t.peerSlotRatio, m.cfg.PeerSlotRatio[c.Key.Work])
	l := t.queue(c.Key)
	l.set(router, c.Waiting, now-c.OldestAge)
	if r, _, ok := m.router(router); ok && r.suspended {
		l.setSuspended(router, true)
	}
}

// queue returns the team's queue of a key, making it where there is none.
func (t *team) queue(k fleet.DemandKey) *queueDemand {
	i, ok := slices.BinarySearchFunc(t.queues, k, func(l *queueDemand, k fleet.DemandKey) int {
		return cmp.Or(cmp.Compare(l.key.Class, k.Class), cmp.Compare(l.key.Work, k.Work))
	})
	if !ok {
		t.queues = slices.Insert(t.queues, i, &queueDemand{key: k})
	}
	return t.queues[i]
}

// handleDeny ends a claim that found its line empty.
func (m *Machine) handleDeny(msg DenyMsg) {
	r, ok := m.claims[msg.Seq]
	if !ok || r.state != claimPending {
		return
	}
	m.dropPending(r)
	m.resumeRouter(r.router)
	if src, known := m.claimRouter(r); known {
		m.setCount(msg.Now, src, msg.Count)
	}
}

// dropPending forgets a claim with which nothing came.
func (m *Machine) dropPending(r *claim) {
	m.pendingClaims--
	m.byName[r.key.Team].pending -= r.estimate
	delete(m.claims, r.seq)
}

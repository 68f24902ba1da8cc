package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// applyDemand records a router's queue counts. Counts from a router whose link
// is down are dropped because no later message would correct them.
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

// setCount records the count of one queue at a router. Counts of works that the
// server does not run are ignored.
func (m *Machine) setCount(now time.Duration, router fleet.Name, c fleet.QueueCount) {
	if !m.cfg.canRun(c.Key.Work) {
		return
	}
	t := m.team(now, c.Key.Team)
	if c.Waiting > 0 {
		m.liftIdle(now, t)
		t.lastActive = now
	}
	t.peerSlotRatio = max(t.peerSlotRatio, m.cfg.PeerSlotRatio[c.Key.Work])
	q := t.queue(c.Key)
	q.set(router, c.Waiting, now-c.OldestAge)
	if r, _, ok := m.router(router); ok && r.suspended {
		q.setSuspended(router, true)
	}
}

// queue returns the team's queue for key k and creates it if necessary.
func (t *team) queue(k fleet.DemandKey) *queueDemand {
	i, ok := slices.BinarySearchFunc(t.queues, k, func(q *queueDemand, k fleet.DemandKey) int {
		return cmp.Or(cmp.Compare(q.key.Class, k.Class), cmp.Compare(q.key.Work, k.Work))
	})
	if !ok {
		t.queues = slices.Insert(t.queues, i, &queueDemand{key: k})
	}
	return t.queues[i]
}

// handleDeny ends a pending claim that the router refused, and records the
// queue's count.
func (m *Machine) handleDeny(msg DenyMsg) {
	c, ok := m.claims[msg.Seq]
	if !ok || c.state != claimPending {
		return
	}
	m.dropPending(c)
	m.resumeRouter(c.router)
	if router, connected := m.claimRouter(c); connected {
		m.setCount(msg.Now, router, msg.Count)
	}
}

// dropPending removes a claim for which no request has arrived.
func (m *Machine) dropPending(c *claim) {
	m.pendingClaims--
	m.byName[c.key.Team].pending -= c.estimate
	delete(m.claims, c.seq)
}

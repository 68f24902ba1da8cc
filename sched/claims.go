package sched

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// arrive accepts a claimed request. A request whose claim is unknown, timed out
// or already used is rejected: it has not run here and will not run here.
func (m *Machine) arrive(msg ArriveMsg) []Command {
	c, ok := m.claims[msg.Seq]
	if !ok {
		c, ok = m.acceptOpenClaim(msg)
	}
	if !ok || c.state != claimPending {
		return []Command{RejectCmd{Seq: msg.Seq}}
	}
	m.pendingClaims--
	m.resumeRouter(c.router)
	m.updateRemaining(msg, c)
	c.state = claimReady
	m.ready = append(m.ready, c.seq)
	return append(m.startReady(msg.Now), m.rejectReady()...)
}

// acceptOpenClaim creates a claim for a request that uses an open claim, if a
// slot is still idle. Each open claim can be used once.
func (m *Machine) acceptOpenClaim(msg ArriveMsg) (*claim, bool) {
	for _, r := range m.routers {
		if !r.openClaims.has(msg.Seq) || m.usedOpenClaims[msg.Seq] {
			continue
		}
		m.usedOpenClaims[msg.Seq] = true
		r.openClaims.used++
		if m.idleSlots() <= 0 || m.leaving || !m.serving || !m.cfg.canRun(msg.Key.Work) {
			// Count the remaining ones as used: they would be rejected too.
			r.openClaims.used = int(r.openClaims.end - r.openClaims.first)
			return nil, false
		}
		return m.newClaim(msg.Now, msg.Seq, r.name, msg.Key), true
	}
	return nil, false
}

// newClaim records a claim together with its estimated cost.
func (m *Machine) newClaim(now time.Duration, seq uint64, router fleet.Name, k fleet.DemandKey) *claim {
	t := m.team(now, k.Team)
	c := &claim{seq: seq, key: k, router: router, claimedAt: now, estimate: m.costs.estimate(k)}
	m.claims[seq] = c
	m.pendingClaims++
	t.pending += c.estimate
	t.lastActive = now
	return c
}

// updateRemaining records the router's count of the requests that remain in the
// queue of an arrived request.
func (m *Machine) updateRemaining(msg ArriveMsg, c *claim) {
	if router, connected := m.claimRouter(c); connected {
		m.setCount(msg.Now, router, fleet.QueueCount{Key: c.key, Waiting: msg.Remaining, OldestAge: msg.OldestAge})
	}
}

// rejectReady rejects the requests that have arrived but cannot start because
// the server is not serving or no longer has slots. Other servers may run them.
func (m *Machine) rejectReady() []Command {
	if m.serving && m.cfg.Slots > 0 {
		return nil
	}
	var cmds []Command
	for _, seq := range m.ready {
		c := m.claims[seq]
		m.byName[c.key.Team].pending -= c.estimate
		delete(m.claims, seq)
		cmds = append(cmds, RejectCmd{Seq: seq})
	}
	m.ready = nil
	return cmds
}

// startReady starts arrived requests in free slots, highest class first and in
// order of arrival within a class.
func (m *Machine) startReady(now time.Duration) []Command {
	var cmds []Command
	for m.serving && len(m.ready) > 0 && m.running < m.cfg.Slots {
		i := m.firstReady()
		c := m.claims[m.ready[i]]
		m.ready = slices.Delete(m.ready, i, i+1)
		m.start(now, c)
		cmds = append(cmds, StartCmd{Seq: c.seq})
	}
	return cmds
}

func (m *Machine) firstReady() int {
	best := 0
	for i, seq := range m.ready {
		if m.claims[seq].key.Class < m.claims[m.ready[best]].key.Class {
			best = i
		}
	}
	return best
}

// start starts a request and charges its estimated cost immediately, so that
// the other agents take it into account.
func (m *Machine) start(now time.Duration, c *claim) {
	c.state = claimStarted
	c.startedAt = now
	m.running++
	t := m.byName[c.key.Team]
	t.running++
	t.pending -= c.estimate
	t.own += c.estimate
	c.charged = c.estimate
}

// end settles the charge of a request that ran, or removes the claim of a
// request that did not start.
func (m *Machine) end(msg EndMsg) {
	c, ok := m.claims[msg.Seq]
	if !ok {
		return
	}
	switch c.state {
	case claimPending:
		m.dropPending(c)
	case claimReady:
		m.dropReady(c)
	case claimStarted:
		m.settle(msg.Now, c)
	}
}

func (m *Machine) dropReady(c *claim) {
	if i := slices.Index(m.ready, c.seq); i >= 0 {
		m.ready = slices.Delete(m.ready, i, i+1)
	}
	m.byName[c.key.Team].pending -= c.estimate
	delete(m.claims, c.seq)
}

// settle replaces the charge of an ended request with its actual cost.
func (m *Machine) settle(now time.Duration, c *claim) {
	cost := now - c.startedAt
	t := m.byName[c.key.Team]
	t.own += cost - c.charged
	t.running--
	t.lastActive = now
	m.running--
	m.costs.observe(c.key, cost)
	delete(m.claims, c.seq)
}

// accrue raises the charges of running requests that have exceeded their
// estimates.
func (m *Machine) accrue(now time.Duration) {
	for _, c := range m.claims {
		if c.state != claimStarted {
			continue
		}
		t := m.byName[c.key.Team]
		t.lastActive = now
		if used := now - c.startedAt; used > c.charged {
			t.own += used - c.charged
			c.charged = used
		}
	}
}

package sched

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// arrive takes a claimed request. One whose claim is unknown, timed out or
// used already is rejected: it has not run here and will not.
func (m *Machine) arrive(msg ArriveMsg) []Command {
	r, ok := m.claims[msg.Seq]
	if !ok {
		r, ok = m.acceptOpenClaim(msg)
	}
	if !ok || r.state != claimPending {
		return []Command{RejectCmd{Seq: msg.Seq}}
	}
	m.pendingClaims--
	m.resumeRouter(r.router)
	m.updateRemaining(msg, r)
	r.state = claimReady
	m.ready = append(m.ready, r.seq)
	return append(m.startReady(msg.Now), m.rejectReady()...)
}

// acceptOpenClaim turns a request that uses an open claim into a claimed one, if a slot
// is still idle. Each open claim can be used once.
func (m *Machine) acceptOpenClaim(msg ArriveMsg) (*claim, bool) {
	for _, v := range m.routers {
		if !v.openClaims.has(msg.Seq) || m.usedOpenClaims[msg.Seq] {
			continue
		}
		m.usedOpenClaims[msg.Seq] = true
		v.openClaims.used++
		if m.idleSlots() <= 0 || m.leaving || !m.serving || !m.cfg.canRun(msg.Key.Work) {
			v.openClaims.used = int(v.openClaims.end - v.openClaims.first) // the rest would fare no better
			return nil, false
		}
		return m.newClaim(msg.Now, msg.Seq, v.name, msg.Key), true
	}
	return nil, false
}

// newClaim notes a claim, and the estimate of what it will cost.
func (m *Machine) newClaim(now time.Duration, seq uint64, router fleet.Name, k fleet.DemandKey) *claim {
	t := m.team(now, k.Team)
	r := &claim{seq: seq, key: k, router: router, claimedAt: now, estimate: m.costs.estimate(k)}
	m.claims[seq] = r
	m.pendingClaims++
	t.pending += r.estimate
	t.lastActive = now
	return r
}

// updateRemaining takes the router's word for what is left of a request's line.
func (m *Machine) updateRemaining(msg ArriveMsg, r *claim) {
	if router, known := m.claimRouter(r); known {
		m.setCount(msg.Now, router, fleet.Count{Key: r.key, Waiting: msg.Remaining, OldestAge: msg.OldestAge})
	}
}

// rejectReady gives back the requests that came and can't start here, because
// the server does not serve or has no slots any more; others may run them.
func (m *Machine) rejectReady() []Command {
	if m.serving && m.cfg.Slots > 0 {
		return nil
	}
	var cmds []Command
	for _, seq := range m.ready {
		r := m.claims[seq]
		m.byName[r.key.Team].pending -= r.estimate
		delete(m.claims, seq)
		cmds = append(cmds, RejectCmd{Seq: seq})
	}
	m.ready = nil
	return cmds
}

// startReady gives free slots to requests that have come, the highest class
// first and in it the one that came first.
func (m *Machine) startReady(now time.Duration) []Command {
	var cmds []Command
	for m.serving && len(m.ready) > 0 && m.running < m.cfg.Slots {
		i := m.firstReady()
		r := m.claims[m.ready[i]]
		m.ready = slices.Delete(m.ready, i, i+1)
		m.start(now, r)
		cmds = append(cmds, StartCmd{Seq: r.seq})
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

// start charges the estimate at once, so that the other agents see it.
func (m *Machine) start(now time.Duration, r *claim) {
	r.state = claimStarted
	r.startedAt = now
	m.running++
	t := m.byName[r.key.Team]
	t.running++
	t.pending -= r.estimate
	t.own += r.estimate
	r.charged = r.estimate
}

// end settles a request that ran, or forgets one that did not start.
func (m *Machine) end(msg EndMsg) {
	r, ok := m.claims[msg.Seq]
	if !ok {
		return
	}
	switch r.state {
	case claimPending:
		m.dropPending(r)
	case claimReady:
		m.dropReady(r)
	case claimStarted:
		m.settle(msg.Now, r)
	}
}

func (m *Machine) dropReady(r *claim) {
	if i := slices.Index(m.ready, r.seq); i >= 0 {
		m.ready = slices.Delete(m.ready, i, i+1)
	}
	m.byName[r.key.Team].pending -= r.estimate
	delete(m.claims, r.seq)
}

// settle replaces the charge by the true cost.
func (m *Machine) settle(now time.Duration, r *claim) {
	cost := now - r.startedAt
	t := m.byName[r.key.Team]
	t.own += cost - r.charged
	t.running--
	t.lastActive = now
	m.running--
	m.costs.observe(r.key, cost)
	delete(m.claims, r.seq)
}

// accrue raises the charges of runs that have outgrown their estimates.
func (m *Machine) accrue(now time.Duration) {
	for _, r := range m.claims {
		if r.state != claimStarted {
			continue
		}
		t := m.byName[r.key.Team]
		t.lastActive = now
		if used := now - r.startedAt; used > r.charged {
			t.own += used - r.charged
			r.charged = used
		}
	}
}

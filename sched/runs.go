package sched

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// arrive takes a claimed request. One whose claim is unknown, timed out or
// used already is rejected: it has not run here and will not.
func (m *Machine) arrive(msg ArriveMsg) []Command {
	r, ok := m.runs[msg.Seq]
	if !ok {
		r, ok = m.openRun(msg)
	}
	if !ok || r.state != runClaimed {
		return []Command{RejectCmd{Seq: msg.Seq}}
	}
	m.claimed--
	m.heard(r.router)
	m.learnLeft(msg, r)
	r.state = runReady
	m.ready = append(m.ready, r.seq)
	return append(m.startReady(msg.Now), m.turnAway()...)
}

// openRun turns a request that uses an open claim into a claimed one, if a slot
// is still idle. Each open claim can be used once.
func (m *Machine) openRun(msg ArriveMsg) (*run, bool) {
	for _, v := range m.routers {
		if !v.open.has(msg.Seq) || m.spent[msg.Seq] {
			continue
		}
		m.spent[msg.Seq] = true
		v.open.used++
		if m.idle() <= 0 || m.leaving || !m.serving || !m.cfg.runs(msg.Key.Work) {
			v.open.used = int(v.open.end - v.open.first) // the rest would fare no better
			return nil, false
		}
		return m.newRun(msg.Now, msg.Seq, v.name, msg.Key), true
	}
	return nil, false
}

// newRun notes a claim, and the estimate of what it will cost.
func (m *Machine) newRun(now time.Duration, seq uint64, router fleet.Name, k fleet.DemandKey) *run {
	t := m.team(now, k.Team)
	r := &run{seq: seq, key: k, router: router, claimed: now, estimate: m.costs.estimate(k)}
	m.runs[seq] = r
	m.claimed++
	t.pending += r.estimate
	t.active = now
	return r
}

// learnLeft takes the router's word for what is left of a request's line.
func (m *Machine) learnLeft(msg ArriveMsg, r *run) {
	if router, known := m.claimRouter(r); known {
		m.setCount(msg.Now, router, fleet.Count{Key: r.key, Waiting: msg.Remaining, OldestAge: msg.OldestAge})
	}
}

// turnAway gives back the requests that came and can't start here, because
// the server does not serve or has no slots any more; others may run them.
func (m *Machine) turnAway() []Command {
	if m.serving && m.cfg.Slots > 0 {
		return nil
	}
	var cmds []Command
	for _, seq := range m.ready {
		r := m.runs[seq]
		m.byName[r.key.Team].pending -= r.estimate
		delete(m.runs, seq)
		cmds = append(cmds, RejectCmd{Seq: seq})
	}
	m.ready = nil
	return cmds
}

// startReady gives free slots to requests that have come, the highest class
// first and in it the one that came first.
func (m *Machine) startReady(now time.Duration) []Command {
	var cmds []Command
	for m.serving && len(m.ready) > 0 && m.started < m.cfg.Slots {
		i := m.firstReady()
		r := m.runs[m.ready[i]]
		m.ready = slices.Delete(m.ready, i, i+1)
		m.start(now, r)
		cmds = append(cmds, StartCmd{Seq: r.seq})
	}
	return cmds
}

func (m *Machine) firstReady() int {
	best := 0
	for i, seq := range m.ready {
		if m.runs[seq].key.Class < m.runs[m.ready[best]].key.Class {
			best = i
		}
	}
	return best
}

// start charges the estimate at once, so that the other agents see it.
func (m *Machine) start(now time.Duration, r *run) {
	r.state = runStarted
	r.started = now
	m.started++
	t := m.byName[r.key.Team]
	t.running++
	t.pending -= r.estimate
	t.own += r.estimate
	r.charged = r.estimate
}

// end settles a request that ran, or forgets one that did not start.
func (m *Machine) end(msg EndMsg) {
	r, ok := m.runs[msg.Seq]
	if !ok {
		return
	}
	switch r.state {
	case runClaimed:
		m.dropClaim(r)
	case runReady:
		m.dropReady(r)
	case runStarted:
		m.settle(msg.Now, r)
	}
}

func (m *Machine) dropReady(r *run) {
	if i := slices.Index(m.ready, r.seq); i >= 0 {
		m.ready = slices.Delete(m.ready, i, i+1)
	}
	m.byName[r.key.Team].pending -= r.estimate
	delete(m.runs, r.seq)
}

// settle replaces the charge by the true cost.
func (m *Machine) settle(now time.Duration, r *run) {
	cost := now - r.started
	t := m.byName[r.key.Team]
	t.own += cost - r.charged
	t.running--
	t.active = now
	m.started--
	m.costs.learn(r.key, cost)
	delete(m.runs, r.seq)
}

// accrue raises the charges of runs that have outgrown their estimates.
func (m *Machine) accrue(now time.Duration) {
	for _, r := range m.runs {
		if r.state != runStarted {
			continue
		}
		t := m.byName[r.key.Team]
		t.active = now
		if used := now - r.started; used > r.charged {
			t.own += used - r.charged
			r.charged = used
		}
	}
}

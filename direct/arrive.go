package direct

import "time"

// arrive takes a request in and tries to place it.
func (m *Machine) arrive(msg RequestMsg) {
	r := m.newRun(msg.Now, msg.Request)
	m.runs[r.ID] = r
	p := m.pool(r.Service)
	m.count(msg.Now, p, r)
	m.team(r.Team).entered.add(msg.Now, r.cost())
	m.enqueue(msg.Now, p, r)
}

func (m *Machine) newRun(now time.Duration, request Request) *run {
	r := &run{Request: request, arrivedAt: now}
	r.late = m.uses(NewFirst) && float64(r.Age) > lateAge*float64(r.Objective)
	return r
}

// count takes in that a request was asked for.
func (m *Machine) count(now time.Duration, p *pool, r *run) {
	p.budget.first(now)
	if p.gate != nil {
		p.gate.exposure.asked++
	}
	objective := float64(r.Objective) / float64(time.Millisecond)
	p.objective += objectiveStep * (objective - p.objective)
	team := m.team(r.Team)
	team.offered.add(now, r.cost())
	team.recent.add(now, r.cost())
}

// door refuses a request whose team has no allowance left for it, or that may run nowhere.
// The router asks before it reads the body, so that a flood costs it little.
func (m *Machine) door(msg AdmissionCheckMsg) {
	r := m.newRun(msg.Now, msg.Request)
	p := m.pool(r.Service)
	if r.Regions.AllowsNone() {
		m.count(msg.Now, p, r)
		m.giveUp(msg.Now, p, r, ReasonRegion)
		return
	}
	m.rate(msg.Now, p, r)
	r.waitUntil = msg.Now + waitTime(r)
	if p.unservable(msg.Now, r) || !m.hopeless(msg.Now, p, r) {
		return
	}
	m.count(msg.Now, p, r)
	m.giveUp(msg.Now, p, r, ReasonOverShare)
}

// hopeless tells whether a request would wait in vain: its team's allowance cannot
// cover it before its time in the queue is over.
func (m *Machine) hopeless(now time.Duration, p *pool, r *run) bool {
	return r.attempt == 0 && r.above && !m.team(r.Team).allowance.covers(p.queue.asked(r.Team, r.waitUntil), r.waitUntil-now)
}

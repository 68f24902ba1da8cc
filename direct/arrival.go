package direct

import "time"

// handleArrival registers a new request and sends, queues or refuses it.
func (m *Machine) handleArrival(msg RequestMsg) {
	r := m.newRequestState(msg.Now, msg.Request)
	m.requests[r.ID] = r
	p := m.pool(r.Service)
	m.recordDemand(msg.Now, p, r)
	m.team(r.Team).admitted.add(msg.Now, r.cost())
	m.enqueue(msg.Now, p, r)
}

func (m *Machine) newRequestState(now time.Duration, request Request) *requestState {
	r := &requestState{Request: request, arrivedAt: now}
	r.late = m.enabled(NewFirst) && !r.Resumed && float64(r.Age) > lateAgeFraction*float64(r.Objective)
	return r
}

// recordDemand counts a request in the demand of its team and in the averages of its pool.
func (m *Machine) recordDemand(now time.Duration, p *pool, r *requestState) {
	p.retryWindow.addRequest(now)
	if p.gate != nil {
		p.gate.exposure.requests++
	}
	objectiveMS := float64(r.Objective) / float64(time.Millisecond)
	p.objectiveMS += objectiveWeight * (objectiveMS - p.objectiveMS)
	team := m.team(r.Team)
	team.offered.add(now, r.cost())
	team.recent.add(now, r.cost())
}

// checkAdmission refuses a request whose team's token bucket can't cover it, or that no region
// may serve, or whose prompt has a barred part. The router calls it before it reads the body, so that
// a refusal costs little during a flood.
func (m *Machine) checkAdmission(msg AdmissionCheckMsg) {
	r := m.newRequestState(msg.Now, msg.Request)
	p := m.pool(r.Service)
	if r.Regions.AllowsNone() {
		m.recordDemand(msg.Now, p, r)
		m.giveUp(msg.Now, p, r, ReasonRegion)
		return
	}
	if m.hasBarredPart(msg.Now, &r.Request) && !m.mayTry(msg.Now, &r.Request) {
		m.recordDemand(msg.Now, p, r)
		m.giveUp(msg.Now, p, r, ReasonQuarantined)
		return
	}
	m.updateTeamState(msg.Now, p, r)
	r.waitUntil = msg.Now + maxWait(r)
	if p.noServerAllowed(msg.Now, r) || !m.wouldExpire(msg.Now, p, r) {
		return
	}
	m.recordDemand(msg.Now, p, r)
	m.giveUp(msg.Now, p, r, ReasonOverShare)
}

// wouldExpire reports whether a first attempt is throttled and its team's token bucket can't
// cover it before its time in the queue ends.
func (m *Machine) wouldExpire(now time.Duration, p *pool, r *requestState) bool {
	return r.isFirstTry() && r.throttled && !m.team(r.Team).tokenBucket.covers(p.queue.queuedTokens(r.Team, r.waitUntil), r.waitUntil-now)
}

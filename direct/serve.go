package direct

import "time"

// enqueue sends a request, or puts it in the queue. It does not look at those that
// wait already: none could be sent a moment ago, and an arrival frees no server.
func (m *Machine) enqueue(now time.Duration, p *pool, r *requestState) {
	r.waitUntil = now + maxWait(r)
	// What crashes servers crashes the next one too, in this try or in another.
	if m.suspects.Barred(now, r.Fingerprint) {
		m.giveUp(now, p, r, ReasonQuarantined)
		return
	}
	if m.trySend(now, p, r) {
		return
	}
	if p.noServerInRegions(now, r) {
		m.giveUp(now, p, r, p.regionRefusalReason(now, r))
		return
	}
	if m.wouldExpire(now, p, r) {
		// Waiting would only hold its caller up.
		m.giveUp(now, p, r, ReasonOverShare)
		return
	}
	if !p.anyUsable(now, r.Regions) || p.noUsableServer(now, r) {
		m.giveUp(now, p, r, p.unavailableReason(now, r))
		return
	}
	r.waiting = true
	p.queue.add(r)
	if len(p.queue.waiting) > maxQueued {
		m.sortQueue(now, p)
		m.refuseWaiting(now, p, p.queue.waiting[len(p.queue.waiting)-1])
	}
}

// trySend sends a request if its team may have more and a server would serve it
// in time.
func (m *Machine) trySend(now time.Duration, p *pool, r *requestState) bool {
	m.updateTeamState(now, p, r)
	if r.throttled && r.attempt == 0 {
		return false
	}
	c, ok := m.placeOnSide(now, p, r)
	if ok {
		m.send(now, p, r, c)
	}
	return ok
}

// sortQueue rates the requests in the queue and sorts them.
func (m *Machine) sortQueue(now time.Duration, p *pool) {
	for _, r := range p.queue.waiting {
		m.updateTeamState(now, p, r)
	}
	if len(p.queue.waiting) > 1 {
		p.queue.sort()
	}
}

// noServerInRegions tells whether a request is bound to regions of which no server may get new
// requests.
func (p *pool) noServerInRegions(now time.Duration, r *requestState) bool {
	return r.Regions.Restricted() && !p.anyUsable(now, r.Regions)
}

// regionRefusalReason says why a bound request is refused that no server may get: either no
// server at all may get requests, or none of its regions.
func (p *pool) regionRefusalReason(now time.Duration, r *requestState) Reason {
	reason := p.unavailableReason(now, r)
	if reason == ReasonNoServers && (r.Regions.AllowsNone() || p.anyUsable(now, Regions{})) {
		return ReasonRegion
	}
	return reason
}

// unavailableReason says why a request is refused that no server may get at the moment.
func (p *pool) unavailableReason(now time.Duration, r *requestState) Reason {
	if _, ok := p.shortestBackoff(now, r.Regions); ok {
		return ReasonBackoff
	}
	return ReasonNoServers
}

// serveQueue places what can be placed of the first most requests of a queue, in its
// order. Those that no server may get any more are refused: waiting would only hold their
// callers up.
func (m *Machine) serveQueue(now time.Duration, p *pool, limit int) {
	if len(p.queue.waiting) == 0 {
		return
	}
	m.sortQueue(now, p)
	kept := p.queue.waiting[:0]
	for i, r := range p.queue.waiting {
		switch {
		case i >= limit:
			kept = append(kept, r)
		case m.suspects.Barred(now, r.Fingerprint):
			m.giveUp(now, p, r, ReasonQuarantined)
		case m.trySend(now, p, r):
			// Those before it may have taken what its team may have.
		case p.noServerInRegions(now, r):
			m.giveUp(now, p, r, p.regionRefusalReason(now, r))
		case !p.anyUsable(now, Regions{}):
			m.giveUp(now, p, r, p.unavailableReason(now, r))
		default:
			kept = append(kept, r)
		}
	}
	clear(p.queue.waiting[len(kept):])
	p.queue.waiting = kept
}

// updateTeamState sets where a request's team stands.
func (m *Machine) updateTeamState(now time.Duration, p *pool, r *requestState) {
	team := m.team(r.Team)
	r.teamServedRate = team.servedRate(now)
	r.shareRatio, r.throttled = 0, false
	if limits := m.limitsOf(team); p.engine != nil && limits.level > 0 {
		r.shareRatio = r.teamServedRate / limits.baseLevel
		r.throttled = team.tokenBucket.empty() || (r.late && !team.tokenBucket.aboveReserve())
	}
}

package direct

import "time"

// enqueue sends a request, or puts it in the queue. It does not look at those that
// wait already: none could be sent a moment ago, and an arrival frees no server.
func (m *Machine) enqueue(now time.Duration, p *pool, r *run) {
	r.waitUntil = now + waitTime(r)
	// What crashes servers crashes the next one too, in this try or in another.
	if m.suspects.Barred(now, r.Content) {
		m.giveUp(now, p, r, ReasonQuarantined)
		return
	}
	if m.trySend(now, p, r) {
		return
	}
	if p.unservable(now, r) {
		m.giveUp(now, p, r, p.reasonOutside(now, r))
		return
	}
	if m.hopeless(now, p, r) {
		// Waiting would only hold its caller up.
		m.giveUp(now, p, r, ReasonOverShare)
		return
	}
	if !p.anyUsable(now, r.Regions) || p.noSideUsable(now, r) {
		m.giveUp(now, p, r, p.reasonNone(now, r))
		return
	}
	r.waiting = true
	p.queue.add(r)
	if len(p.queue.waiting) > maxQueued {
		m.order(now, p)
		m.refuse(now, p, p.queue.waiting[len(p.queue.waiting)-1])
	}
}

// trySend sends a request if its team may have more and a server would serve it
// in time.
func (m *Machine) trySend(now time.Duration, p *pool, r *run) bool {
	m.rate(now, p, r)
	if r.above && r.attempt == 0 {
		return false
	}
	c, ok := m.placeBySide(now, p, r)
	if ok {
		m.send(now, p, r, c)
	}
	return ok
}

// order rates the requests in the queue and sorts them.
func (m *Machine) order(now time.Duration, p *pool) {
	for _, r := range p.queue.waiting {
		m.rate(now, p, r)
	}
	if len(p.queue.waiting) > 1 {
		p.queue.sort()
	}
}

// unservable tells whether a request is bound to regions of which no server may get new
// requests.
func (p *pool) unservable(now time.Duration, r *run) bool {
	return r.Regions.Restricted() && !p.anyUsable(now, r.Regions)
}

// reasonOutside says why a bound request is refused that no server may get: either no
// server at all may get requests, or none of its regions.
func (p *pool) reasonOutside(now time.Duration, r *run) Reason {
	why := p.reasonNone(now, r)
	if why == ReasonNoServers && (r.Regions.AllowsNone() || p.anyUsable(now, Regions{})) {
		return ReasonRegion
	}
	return why
}

// reasonNone says why a request is refused that no server may get at the moment.
func (p *pool) reasonNone(now time.Duration, r *run) Reason {
	if _, ok := p.backoffEnds(now, r.Regions); ok {
		return ReasonBackoff
	}
	return ReasonNoServers
}

// serve places what can be placed of the first most requests of a queue, in its
// order. Those that no server may get any more are refused: waiting would only hold their
// callers up.
func (m *Machine) serve(now time.Duration, p *pool, most int) {
	if len(p.queue.waiting) == 0 {
		return
	}
	m.order(now, p)
	kept := p.queue.waiting[:0]
	for i, r := range p.queue.waiting {
		switch {
		case i >= most:
			kept = append(kept, r)
		case m.suspects.Barred(now, r.Content):
			m.giveUp(now, p, r, ReasonQuarantined)
		case m.trySend(now, p, r):
			// Those before it may have taken what its team may have.
		case p.unservable(now, r):
			m.giveUp(now, p, r, p.reasonOutside(now, r))
		case !p.anyUsable(now, Regions{}):
			m.giveUp(now, p, r, p.reasonNone(now, r))
		default:
			kept = append(kept, r)
		}
	}
	clear(p.queue.waiting[len(kept):])
	p.queue.waiting = kept
}

// rate sets where a request's team stands.
func (m *Machine) rate(now time.Duration, p *pool, r *run) {
	team := m.team(r.Team)
	r.served = team.servedRate(now)
	r.over, r.above = 0, false
	if bounds := m.boundsOf(team); p.engine != nil && bounds.level > 0 {
		r.over = r.served / bounds.base
		r.above = team.allowance.spent() || (r.late && !team.allowance.plenty())
	}
}

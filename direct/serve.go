package direct

import (
	"slices"
	"time"
)

// enqueue sends a request or puts it in the queue. It does not try the requests that wait
// already: none could be sent a moment ago, and an arrival frees no server.
func (m *Machine) enqueue(now time.Duration, p *pool, r *requestState) {
	r.waitUntil = now + maxWait(r)
	// A request that crashes servers would crash the next one too, in this attempt or in a
	// later one.
	if m.isBarred(now, r) {
		m.giveUp(now, p, r, ReasonQuarantined)
		return
	}
	if m.trySend(now, p, r) {
		return
	}
	if p.noServerAllowed(now, r) {
		m.giveUp(now, p, r, p.unavailableReason(now, r))
		return
	}
	if m.wouldExpire(now, p, r) {
		// Waiting would only delay the caller.
		m.giveUp(now, p, r, ReasonOverShare)
		return
	}
	if !p.anyUsable(now, &r.Request) || p.noUsableServer(now, r) {
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

// trySend sends a request if its team is not throttled and a server would serve it in time. It
// reports whether it did.
func (m *Machine) trySend(now time.Duration, p *pool, r *requestState) bool {
	m.updateTeamState(now, p, r)
	if r.throttled && r.isFirstTry() {
		return false
	}
	c, ok := m.placeOnSide(now, p, r)
	if !ok || r.backupOf != nil && !p.retryWindow.trySpend(now, m.options.RetryBudget, m.routers) {
		return false
	}
	m.send(now, p, r, c)
	return true
}

// sortQueue updates the team state of the waiting requests and sorts them.
func (m *Machine) sortQueue(now time.Duration, p *pool) {
	for _, r := range p.queue.waiting {
		m.updateTeamState(now, p, r)
	}
	if len(p.queue.waiting) > 1 {
		p.queue.sort()
	}
}

// noServerAllowed reports whether a request is restricted to servers none of which may get it. A
// stream that has begun does not wait for servers at which it has failed already.
func (p *pool) noServerAllowed(now time.Duration, r *requestState) bool {
	if r.Version != "" {
		return !slices.ContainsFunc(p.serversFor(&r.Request), func(s *server) bool { return s.accepts(now, &r.Request) && r.maySendTo(s.ID) })
	}
	return r.Regions.Restricted() && !p.anyUsable(now, &r.Request)
}

// unavailableReason returns the reason to refuse a request that no server may get at the moment:
// no server at all may get requests, or none of those that the request may go to.
func (p *pool) unavailableReason(now time.Duration, r *requestState) Reason {
	if _, ok := p.shortestBackoff(now, &r.Request); ok {
		return ReasonBackoff
	}
	if r.Version != "" && p.anyUsable(now, &Request{Regions: r.Regions}) {
		return ReasonVersion
	}
	if r.Regions.Restricted() && (r.Regions.AllowsNone() || p.anyUsable(now, unrestricted)) {
		return ReasonRegion
	}
	return ReasonNoServers
}

// serveQueue sends what can be sent of the first limit requests in the queue, in order. It
// refuses requests that no server may get any more: waiting would only delay their callers.
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
		case m.isBarred(now, r):
			m.giveUp(now, p, r, ReasonQuarantined)
		case m.trySend(now, p, r):
			// The team state is updated for each request, since those before it may have used
			// up their team's tokens.
		case p.noServerAllowed(now, r):
			m.giveUp(now, p, r, p.unavailableReason(now, r))
		case r.Version == "" && !p.anyUsable(now, unrestricted):
			m.giveUp(now, p, r, p.unavailableReason(now, r))
		default:
			kept = append(kept, r)
		}
	}
	clear(p.queue.waiting[len(kept):])
	p.queue.waiting = kept
}

// updateTeamState sets the fields of a request that depend on its team's current rate and token
// bucket.
func (m *Machine) updateTeamState(now time.Duration, p *pool, r *requestState) {
	team := m.team(r.Team)
	r.teamServedRate = team.servedRate(now)
	r.shareRatio, r.throttled = 0, false
	if limits := m.limitsOf(team); p.engine != nil && limits.level > 0 {
		r.shareRatio = r.teamServedRate / limits.baseLevel
		r.throttled = team.tokenBucket.empty() || (r.late && !team.tokenBucket.aboveReserve())
	}
}

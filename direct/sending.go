package direct

import (
	"cmp"
	"time"
)

// send sends a request to the chosen server and adds it to the loads.
func (m *Machine) send(now time.Duration, p *pool, r *requestState, c choice) {
	c = m.recordSent(now, p, r, c)
	s := c.server
	r.waiting = false
	r.currentServer = s
	r.sentAt = now
	r.firstEventAt = 0
	r.incarnation = UnknownIncarnation
	r.survived, r.cleared = false, false
	r.recordVisit(s.ID)
	basis := PlacementBasis{
		Running: s.totalRunning(), Pending: s.totalPending(), MissTokens: c.missTokens,
		Estimate: c.estimate, QueueWait: now - r.arrivedAt, Share: r.shareRatio,
		Target: s.target, Side: r.placement.side,
	}
	s.running++
	m.recordColdSend(now, p, s)
	if p.engine != nil {
		r.pendingTokens = r.ownTokens() + c.missTokens
		r.tokensAhead = s.totalPending() + r.pendingTokens
		s.pendingTokens += r.pendingTokens
	}
	m.startObservation(now, p, r, s)
	m.charge(now, r)
	if p.engine != nil && c.missTokens > 0 && m.enabled(SharedCopies) {
		m.announceCopies(now, p, r, s)
	}
	for i := 0; i+1 < len(r.Parts) && m.enabled(Locality); i++ {
		m.partHolders.record(now, r.Parts[i].ID, s.ID)
	}
	m.emit(SendCmd{ID: r.ID, Server: s.Server, CrossRegion: !m.hallRegions.isLocal(s.region), Attempt: r.attempt, PlacementBasis: basis})
}

// charge counts a request in its team's use when it is sent, so that requests sent at the same
// moment count at once.
func (m *Machine) charge(now time.Duration, r *requestState) {
	if r.charged {
		return
	}
	r.charged = true
	cost, team := r.cost(), m.team(r.Team)
	team.served.add(now, cost)
	team.tokenBucket.subtract(cost)
}

// refund reverses the charge of a request that ended before its first event, as its team got
// nothing. If a server may have begun to read it, the team's token bucket stays charged with
// the work.
func (m *Machine) refund(now time.Duration, r *requestState, o Outcome) {
	if !r.charged || r.backupOf != nil || r.started || o == Done || o == Failed {
		return
	}
	r.charged = false
	cost, team := r.cost(), m.team(r.Team)
	team.served.subtract(now, cost, now-r.sentAt)
	if o.isUnsent() || o == NotRun || o == Elsewhere {
		team.tokenBucket.subtract(-cost)
	}
}

// handleFirstEvent records the first event of an attempt and serves the queue.
func (m *Machine) handleFirstEvent(msg FirstEventMsg) {
	r := m.requests[msg.ID]
	if r == nil || r.currentServer == nil {
		return
	}
	p := m.pool(r.Service)
	if msg.Streaming {
		r.Version = cmp.Or(msg.Version, r.currentServer.Version)
	}
	r.firstEventAt = msg.Now
	m.observeFirstEvent(msg.Now, p, r)
	if r.started {
		return
	}
	r.started = true
	m.recordResponse(msg.Now, r.currentServer)
	r.currentServer.recordFirstEvent(p, r, msg.Now-r.sentAt)
	r.currentServer.markPromptRead(r)
	m.serveQueue(msg.Now, p, serveBatch)
}

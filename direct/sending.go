package direct

import (
	"time"
)

func (m *Machine) send(now time.Duration, p *pool, r *run, c choice) {
	c = m.noteSent(now, p, r, c)
	s := c.server
	r.waiting = false
	r.at = s
	r.sentAt = now
	r.firstAt = 0
	r.attempt++
	r.tried = append(r.tried, s.ID)
	basis := PlacementBasis{
		Running: s.allRunning(), Pending: s.allPending(), MissTokens: c.miss,
		Estimate: c.estimate, QueueWait: now - r.arrivedAt, Share: r.over,
		Target: s.target, Side: r.placement.side,
	}
	s.running++
	m.coldSent(now, p, s)
	if p.engine != nil {
		r.pending = r.ownTokens() + c.miss
		r.ahead = s.allPending() + r.pending
		s.pending += r.pending
	}
	m.watch(now, p, r, s)
	m.charge(now, r)
	if p.engine != nil && c.miss > 0 && m.uses(SharedCopies) {
		m.tellCopies(now, p, r, s)
	}
	for i := 0; i+1 < len(r.Parts) && m.uses(Locality); i++ {
		m.holders.note(now, r.Parts[i].ID, s.ID)
	}
	m.emit(SendCmd{ID: r.ID, Server: s.Server, CrossRegion: !m.geography.near(s.region), Attempt: r.attempt, PlacementBasis: basis})
}

// charge counts a request for its team when it is sent, so that those sent at
// one moment count at once.
func (m *Machine) charge(now time.Duration, r *run) {
	if r.charged {
		return
	}
	r.charged = true
	cost, team := r.cost(), m.team(r.Team)
	team.served.add(now, cost)
	team.allowance.take(cost)
}

// refund takes a request off again that ended before its first event: its team
// got nothing. Where a server may have begun to read it, the team's allowance
// stays charged with the work.
func (m *Machine) refund(now time.Duration, r *run, o Outcome) {
	if !r.charged || r.begun || o == Done || o == Failed {
		return
	}
	r.charged = false
	cost, team := r.cost(), m.team(r.Team)
	team.served.take(now, cost, now-r.sentAt)
	if o == Unsent || o == Withheld || o == NotRun || o == Elsewhere {
		team.allowance.take(-cost)
	}
}

// first takes in that an attempt's first event came.
func (m *Machine) first(msg FirstEventMsg) {
	r := m.runs[msg.ID]
	if r == nil || r.at == nil {
		return
	}
	p := m.pool(r.Service)
	r.firstAt = msg.Now
	m.sawFirst(msg.Now, p, r)
	if r.begun {
		return
	}
	r.begun = true
	m.answered(msg.Now, r.at)
	r.at.learnFirst(p, r, msg.Now-r.sentAt)
	r.at.started(r)
	m.serve(msg.Now, p, serveEach)
}

package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// arrive admits a request or refuses it immediately.
func (m *Machine) arrive(msg RequestMsg) []Command {
	r := &request{Request: msg.Request, arrived: msg.Now, heapIndex: -1}
	if refusal, refused := m.checkAdmission(msg.Now, r); refused {
		return []Command{refusal}
	}
	r.expiresAt = m.expiresAt(msg.Now, r.Request)
	m.requests[r.ID] = r
	m.budget.earn(m.cfg.RetryBudget)
	m.enqueue(r, false)
	return m.dispatch(msg.Now, m.queues[r.Key])
}

// checkAdmission reports whether a request must be refused, and returns the
// refusal if so.
func (m *Machine) checkAdmission(now time.Duration, r *request) (RefuseCmd, bool) {
	t := m.team(r.Key.Team)
	wait := t.expectedWait()
	switch {
	case t.waiting >= m.cfg.teamLimit(r.Key.Team):
		return m.refusal(r, ReasonTeamFull, wait), true
	case m.waiting >= m.cfg.MaxWaiting:
		return m.refusal(r, ReasonRouterFull, wait), true
	case !m.hasServer(r):
		return m.refusal(r, ReasonNoServer, noServerRetryAfter), true
	case r.Deadline > 0 && now+wait > r.Deadline:
		return m.refusal(r, ReasonDeadline, wait), true
	}
	return RefuseCmd{}, false
}

func (m *Machine) refusal(r *request, reason Reason, wait time.Duration) RefuseCmd {
	return RefuseCmd{ID: r.ID, Reason: reason, Ran: RanNo, RetryAfter: jitter(r.ID, wait)}
}

func (m *Machine) hasServer(r *request) bool {
	for _, a := range m.agents {
		if a.canRun(r.Key.Work) {
			return true
		}
	}
	return false
}

// dispatch sends the oldest request of a queue to an idle agent if one has
// granted an open claim. Otherwise tick sends the queue's count to agents.
func (m *Machine) dispatch(now time.Duration, q *requestQueue) []Command {
	a := m.idleAgent(now, q.key.Work)
	if a == nil {
		return nil
	}
	claim, ok := a.openClaims.take(now)
	if !ok {
		return nil
	}
	return m.grant(now, a, claim, q)
}

// idleAgent returns an agent that has granted unexpired open claims, or nil. It
// prefers agents in the router's own hall and rotates among equal candidates.
func (m *Machine) idleAgent(now time.Duration, w fleet.Work) *agentView {
	var best *agentView
	m.rotation++
	n := len(m.agents)
	for i := range n {
		a := m.agents[(m.rotation+i)%n]
		if a.openClaims.remaining <= 0 || now >= a.openClaims.expiresAt || !a.canRun(w) {
			continue
		}
		if a.hall == m.cfg.Hall {
			return a
		}
		if best == nil {
			best = a
		}
	}
	return best
}

// cancel ends a waiting request. A request that was sent to an agent stays until
// its EndMsg.
func (m *Machine) cancel(msg CancelMsg) []Command {
	r, ok := m.requests[msg.ID]
	if !ok {
		return nil
	}
	if r.state == stateWaiting {
		m.removeWaiting(msg.Now, r)
	}
	return nil
}

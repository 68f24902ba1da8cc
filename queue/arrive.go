package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// arrive admits a request or refuses it at once.
func (m *Machine) arrive(msg ArriveMsg) []Command {
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

// checkAdmission tells whether a request can't be taken, and why.
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

// dispatch sends the oldest request of a line to an idle agent, if one has given
// an open claim. Else agents hear of the line at the next tick.
func (m *Machine) dispatch(now time.Duration, l *requestQueue) []Command {
	a := m.idleAgent(now, l.key.Work)
	if a == nil {
		return nil
	}
	claim, ok := a.open.take(now)
	if !ok {
		return nil
	}
	return m.grant(now, a, claim, l)
}

// idleAgent picks an agent that has given open claims: in the router's own
// hall if there is one, then in turn.
func (m *Machine) idleAgent(now time.Duration, w fleet.Work) *agentView {
	var best *agentView
	m.rotation++
	n := len(m.agents)
	for i := range n {
		a := m.agents[(m.rotation+i)%n]
		if a.open.remaining <= 0 || now >= a.open.expiresAt || !a.canRun(w) {
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

package queue

import "time"

// arrive admits a request or refuses it at once.
func (m *Machine) arrive(msg ArriveMsg) []Command {
	r := &request{Request: msg.Request, arrived: msg.Now, index: -1}
	if refusal, refused := m.refuse(msg.Now, r); refused {
		return []Command{refusal}
	}
	r.expires = m.expiresAt(msg.Now, r.Request)
	m.requests[r.ID] = r
	m.budget.attempt(m.cfg.RetryBudget)
	m.enter(r, false)
	return m.advertise(msg.Now, r)
}

// refuse tells whether a request can't be taken, and why.
func (m *Machine) refuse(now time.Duration, r *request) (RefuseCmd, bool) {
	t := m.team(r.Key.Team)
	wait := t.expectedWait()
	switch {
	case t.waiting >= m.cfg.teamLimit(r.Key.Team):
		return m.refusal(r, ReasonTeamFull, wait), true
	case m.waiting >= m.cfg.MaxWaiting:
		return m.refusal(r, ReasonFull, wait), true
	case !m.anyRuns(r):
		return m.refusal(r, ReasonNoServer, noServerRetry), true
	case r.Deadline > 0 && now+wait > r.Deadline:
		return m.refusal(r, ReasonTooLate, wait), true
	}
	return RefuseCmd{}, false
}

func (m *Machine) refusal(r *request, why Reason, wait time.Duration) RefuseCmd {
	return RefuseCmd{ID: r.ID, Reason: why, Ran: RanNo, RetryAfter: jitter(r.ID, wait)}
}

func (m *Machine) anyRuns(r *request) bool {
	for _, a := range m.agents {
		if a.runs(r.Key.Work) {
			return true
		}
	}
	return false
}

// advertise tells one idle agent of a new request. The others hear of it at
// the next tick, if it still waits then.
func (m *Machine) advertise(now time.Duration, r *request) []Command {
	a := m.idleAgent(r)
	if a == nil {
		return nil
	}
	l := m.lines[r.Key]
	a.knows(l, l.waiting)
	return []Command{a.demand([]Count{l.count(now)})}
}

// idleAgent picks an agent that has said it is idle: in the router's own hall
// if there is one, then in turn.
func (m *Machine) idleAgent(r *request) *agentView {
	var best *agentView
	m.turn++
	n := len(m.agents)
	for i := range n {
		a := m.agents[(m.turn+i)%n]
		if a.free <= 0 || !a.runs(r.Key.Work) {
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
		m.drop(msg.Now, r)
	}
	return nil
}

package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// claim gives the oldest request of a line to the agent that asks for it. An
// unknown agent is denied: its claim came late, over a link that is gone.
func (m *Machine) claim(msg ClaimMsg) []Command {
	a, _, known := m.agent(msg.Claim.Agent)
	if !known {
		return []Command{DenyCmd{Claim: msg.Claim, Count: fleet.Count{Key: msg.Key}}}
	}
	l := m.lineOf(msg.Key)
	if l.waiting == 0 {
		a.knows(l, 0)
		return []Command{DenyCmd{Claim: msg.Claim, Count: fleet.Count{Key: msg.Key}}}
	}
	return m.grant(msg.Now, a, msg.Claim, l)
}

// grant sends the oldest request of a line, which must have one, to an agent.
func (m *Machine) grant(now time.Duration, a *agentView, claim fleet.ClaimID, l *line) []Command {
	r := l.pop()
	m.leave(now, r)
	m.team(r.Key.Team).drained(now)
	r.state = stateRunning
	r.claim = claim
	return []Command{RunCmd{ID: r.ID, Claim: claim, Remaining: m.left(now, a, l)}}
}

// left returns what the agent should believe to be left of a line. Where more
// agents know of it than it has requests for, this one may forget it: each
// would else claim once in vain when the line is empty.
func (m *Machine) left(now time.Duration, a *agentView, l *line) fleet.Count {
	c := l.count(now)
	if l.known > 1+tellPerRequest*l.waiting {
		c.Waiting = 0
	}
	a.knows(l, c.Waiting)
	return c
}

func (m *Machine) answer(msg AnswerStartedMsg) []Command {
	if r, ok := m.requests[msg.ID]; ok && r.state == stateRunning {
		r.state = stateAnswered
	}
	return nil
}

// end closes one run. Only an agent's own word that the run never started, or
// a repeatable request with nothing answered, leads to another run.
func (m *Machine) end(msg EndMsg) []Command {
	r, ok := m.requests[msg.ID]
	if !ok || r.state == stateWaiting {
		return nil
	}
	switch msg.Outcome {
	case OutcomeNotRun:
		return m.giveBack(msg, r)
	case OutcomeUnknown:
		return m.failed(msg, r)
	}
	m.finish(r)
	return nil
}

// giveBack returns an unrun request to the front of its line.
func (m *Machine) giveBack(msg EndMsg, r *request) []Command {
	r.returned++
	if a, _, ok := m.agent(r.claim.Agent); ok {
		a.open = openClaims{} // it is not as idle as it said
	}
	if r.returned >= maxReturned || msg.Now >= r.expires {
		m.finish(r)
		return []Command{m.refusalAfterRuns(r, ReasonServerFailed)}
	}
	m.enter(r, true)
	return m.place(msg.Now, m.lines[r.Key])
}

// failed decides about a run of which nobody knows whether it took place.
func (m *Machine) failed(msg EndMsg, r *request) []Command {
	r.runs++
	again := r.Repeatable && r.state == stateRunning && msg.Now < r.expires
	if again && m.budget.retry() {
		m.enter(r, true)
		return m.place(msg.Now, m.lines[r.Key])
	}
	m.finish(r)
	return []Command{m.refusalAfterRuns(r, ReasonOutcomeUnknown)}
}

// refusalAfterRuns never says "not run" of a request with a run in doubt.
func (m *Machine) refusalAfterRuns(r *request, why Reason) RefuseCmd {
	c := m.refusal(r, why, noServerRetry)
	if r.runs > 0 {
		c.Ran = RanUnknown
	}
	return c
}

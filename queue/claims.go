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
		return []Command{DenyCmd{Claim: msg.Claim, Count: Count{Key: msg.Key}}}
	}
	r := m.take(msg.Key)
	if r == nil {
		a.knows(m.lineOf(msg.Key), 0)
		return []Command{DenyCmd{Claim: msg.Claim, Count: Count{Key: msg.Key}}}
	}
	m.leave(msg.Now, r)
	m.team(r.Key.Team).drained(msg.Now)
	r.state = stateRunning
	r.claim = msg.Claim
	return []Command{RunCmd{ID: r.ID, Claim: msg.Claim, Left: m.left(msg.Now, a, m.lines[msg.Key])}}
}

// left returns what the agent should believe to be left of a line. Where more
// agents know of it than it has requests for, this one may forget it: each
// would else claim once in vain when the line is empty.
func (m *Machine) left(now time.Duration, a *agentView, l *line) Count {
	c := l.count(now)
	if l.known > 1+tellPerRequest*l.waiting {
		c.Waiting = 0
	}
	a.knows(l, c.Waiting)
	return c
}

func (m *Machine) take(k fleet.DemandKey) *request {
	l, ok := m.lines[k]
	if !ok {
		return nil
	}
	return l.pop()
}

func (m *Machine) answer(msg AnswerMsg) []Command {
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
	case OutcomeFailed:
		return m.failed(msg, r)
	}
	m.finish(r)
	return nil
}

// giveBack returns an unrun request to the front of its line.
func (m *Machine) giveBack(msg EndMsg, r *request) []Command {
	r.returned++
	if r.returned >= maxReturned || msg.Now >= r.expires {
		m.finish(r)
		return []Command{m.refusalAfterRuns(r, ReasonFailed)}
	}
	m.enter(r, true)
	return m.advertise(msg.Now, r)
}

// failed decides about a run of which nobody knows whether it took place.
func (m *Machine) failed(msg EndMsg, r *request) []Command {
	r.runs++
	again := r.Repeatable && r.state == stateRunning && msg.Now < r.expires
	if again && m.budget.retry() {
		m.enter(r, true)
		return m.advertise(msg.Now, r)
	}
	m.finish(r)
	return []Command{m.refusalAfterRuns(r, ReasonUncertain)}
}

// refusalAfterRuns never says "not run" of a request with a run in doubt.
func (m *Machine) refusalAfterRuns(r *request, why Reason) RefuseCmd {
	c := m.refusal(r, why, noServerRetry)
	if r.runs > 0 {
		c.Ran = RanUnknown
	}
	return c
}

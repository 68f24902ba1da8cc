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
	l := m.queueFor(msg.Key)
	if l.waiting == 0 {
		a.recordSent(l, 0)
		return []Command{DenyCmd{Claim: msg.Claim, Count: fleet.Count{Key: msg.Key}}}
	}
	return m.grant(msg.Now, a, msg.Claim, l)
}

// grant sends the oldest request of a line, which must have one, to an agent.
func (m *Machine) grant(now time.Duration, a *agentView, claim fleet.ClaimID, l *requestQueue) []Command {
	r := l.pop()
	m.recordDequeue(now, r)
	m.team(r.Key.Team).recordClaim(now)
	r.state = stateRunning
	r.claim = claim
	return []Command{RunCmd{ID: r.ID, Claim: claim, Remaining: m.remaining(now, a, l)}}
}

// remaining returns what the agent should believe to be remaining of a line. Where more
// agents know of it than it has requests for, this one may forget it: each
// would else claim once in vain when the line is empty.
func (m *Machine) remaining(now time.Duration, a *agentView, l *requestQueue) fleet.Count {
	c := l.count(now)
	if l.informedAgents > 1+informedPerRequest*l.waiting {
		c.Waiting = 0
	}
	a.recordSent(l, c.Waiting)
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
		return m.requeue(msg, r)
	case OutcomeUnknown:
		return m.handleUnknownOutcome(msg, r)
	}
	m.finish(r)
	return nil
}

// requeue returns an unrun request to the front of its line.
func (m *Machine) requeue(msg EndMsg, r *request) []Command {
	r.returns++
	if a, _, ok := m.agent(r.claim.Agent); ok {
		a.open = openClaims{} // it is not as idle as it said
	}
	if r.returns >= maxReturns || msg.Now >= r.expiresAt {
		m.finish(r)
		return []Command{m.refusalAfterRuns(r, ReasonServerFailed)}
	}
	m.enqueue(r, true)
	return m.dispatch(msg.Now, m.queues[r.Key])
}

// handleUnknownOutcome decides about a run of which nobody knows whether it took place.
func (m *Machine) handleUnknownOutcome(msg EndMsg, r *request) []Command {
	r.possibleRuns++
	canRetry := r.Repeatable && r.state == stateRunning && msg.Now < r.expiresAt
	if canRetry && m.budget.spend() {
		m.enqueue(r, true)
		return m.dispatch(msg.Now, m.queues[r.Key])
	}
	m.finish(r)
	return []Command{m.refusalAfterRuns(r, ReasonOutcomeUnknown)}
}

// refusalAfterRuns never says "not run" of a request with a run in doubt.
func (m *Machine) refusalAfterRuns(r *request, reason Reason) RefuseCmd {
	c := m.refusal(r, reason, noServerRetryAfter)
	if r.possibleRuns > 0 {
		c.Ran = RanUnknown
	}
	return c
}

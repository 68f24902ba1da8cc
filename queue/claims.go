package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// claim grants the oldest request of a queue to the claiming agent. A claim from
// an unknown agent is denied: it arrived late, after the agent's link went down.
func (m *Machine) claim(msg ClaimMsg) []Command {
	a, _, known := m.agent(msg.Claim.Agent)
	if !known {
		return []Command{DenyCmd{Claim: msg.Claim, Count: fleet.QueueCount{Key: msg.Key}}}
	}
	q := m.queueFor(msg.Key)
	if q.waiting == 0 {
		a.recordSent(q, 0)
		return []Command{DenyCmd{Claim: msg.Claim, Count: fleet.QueueCount{Key: msg.Key}}}
	}
	return m.grant(msg.Now, a, msg.Claim, q)
}

// grant sends the oldest request of a queue to an agent. The queue must not be
// empty.
func (m *Machine) grant(now time.Duration, a *agentView, claim fleet.ClaimID, q *requestQueue) []Command {
	r := q.pop()
	m.recordDequeue(now, r)
	m.team(r.Key.Team).recordClaim(now)
	r.state = stateRunning
	r.claim = claim
	return []Command{RunCmd{ID: r.ID, Claim: claim, Remaining: m.remaining(now, a, q)}}
}

// remaining returns the remaining count of a queue to send to the agent. If more
// agents are informed of the queue than its requests need, the count sent is
// zero, so that fewer agents make a useless claim once the queue is empty.
func (m *Machine) remaining(now time.Duration, a *agentView, q *requestQueue) fleet.QueueCount {
	c := q.count(now)
	if q.informedAgents > 1+informedPerRequest*q.waiting {
		c.Waiting = 0
	}
	a.recordSent(q, c.Waiting)
	return c
}

func (m *Machine) responseStarted(msg ResponseStartedMsg) []Command {
	if r, ok := m.requests[msg.ID]; ok && r.state == stateRunning {
		r.state = stateResponding
	}
	return nil
}

// end processes the end of one run. A request runs again only if the agent
// itself reports that the run never started, or if the request is repeatable
// and no response has started.
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

// requeue returns a request that did not run to the front of its queue.
func (m *Machine) requeue(msg EndMsg, r *request) []Command {
	r.returns++
	if a, _, ok := m.agent(r.claim.Agent); ok {
		a.openClaims = openClaims{} // the agent is no longer idle
	}
	if r.returns >= maxReturns || msg.Now >= r.expiresAt {
		m.finish(r)
		return []Command{m.refusalAfterRuns(r, ReasonServerFailed)}
	}
	m.enqueue(r, true)
	return m.dispatch(msg.Now, m.queues[r.Key])
}

// handleUnknownOutcome retries or refuses a request whose last run may have
// taken place.
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

// refusalAfterRuns returns a refusal that reports "not run" only if no run of
// the request can have started.
func (m *Machine) refusalAfterRuns(r *request, reason Reason) RefuseCmd {
	c := m.refusal(r, reason, noServerRetryAfter)
	if r.possibleRuns > 0 {
		c.Ran = RanUnknown
	}
	return c
}

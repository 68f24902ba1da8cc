package direct

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftvale/croftvale/quarantine"
)

// hungFailureWeight is the number of failures that a timeout without any response counts as.
const hungFailureWeight = 2

const (
	// minAllowanceDelay and maxAllowanceDelay bound the retry delay for callers of a team that
	// has exceeded its allowance.
	minAllowanceDelay = time.Second
	maxAllowanceDelay = 10 * time.Second
)

// endAttempt handles the end of an attempt and decides whether to retry.
func (m *Machine) endAttempt(msg EndMsg) {
	r := m.runs[msg.ID]
	if r == nil || r.at == nil {
		return
	}
	p := m.pool(r.Service)
	s := r.at
	r.at = nil
	s.release(r)
	m.refund(msg.Now, r, msg.Outcome)
	m.recordCrashEvidence(msg.Now, r, s, msg.Outcome)
	m.observeEnd(p, msg, r, s)
	p.recordEnded(r, s, msg.Outcome)
	switch {
	case msg.Outcome == Unsent && msg.Refused && s.lapsedAt > 0:
		m.dropRefusing(msg.Now, p, s)
	case !msg.Slow || msg.Outcome == Done:
		m.recordOutcome(msg.Now, p, s, msg.Outcome)
	}
	if msg.Retry {
		m.retry(msg.Now, p, r, msg.Outcome)
	} else {
		delete(m.runs, r.ID)
	}
	m.serve(msg.Now, p, serveEach)
}

// recordOutcome updates the health of a server with the outcome of an attempt.
func (m *Machine) recordOutcome(now time.Duration, p *pool, s *server, o Outcome) {
	switch o {
	case Done, Failed, NotRun, Elsewhere:
		m.recordResponse(now, s)
	case Unsent:
		m.recordUnreachable(now, s)
	}
	switch o {
	case Done:
		if s.succeeded() {
			s.pause /= 2
			m.emit(BeliefCmd{Server: s.Server, Belief: BeliefBack, Cause: "answered"})
		}
	case NotRun:
		s.fullUntil = now + fullPause
	case Unsent, Elsewhere:
		m.emit(BeliefCmd{Server: s.Server, Belief: BeliefEjected, Cause: o.String(), For: s.down(now)})
	case Failed, Broken:
		m.recordFailure(now, p, s, 1, o)
	case Hung:
		m.recordFailure(now, p, s, hungFailureWeight, o)
	}
}

func (m *Machine) recordFailure(now time.Duration, p *pool, s *server, weight int, o Outcome) {
	side := p.sameSide(s)
	if !s.failed(weight, medianFailures(side)) || mostEjected(now, side) || !m.uses(Ejection) {
		return
	}
	m.emit(BeliefCmd{Server: s.Server, Belief: BeliefEjected, Cause: o.String(), For: s.eject(now)})
}

// retry decides whether a request whose last attempt was unsuccessful gets another one.
func (m *Machine) retry(now time.Duration, p *pool, r *run, o Outcome) {
	switch o {
	case Unsent, Withheld:
		r.attempt--
		r.unsent++
		if r.unsent >= unsentTries {
			m.giveUp(now, p, r, ReasonNoServers)
			return
		}
		m.enqueue(now, p, r)
		return
	case NotRun, Elsewhere:
	default:
		r.mayRan = true
		if !r.MayRepeat {
			m.giveUp(now, p, r, ReasonOnce)
			return
		}
	}
	switch {
	// The probe that detects a crash is still running, and a retry might crash a fourth server.
	case (o == Broken || o == Hung) && !r.clearedOfCrash(now) && m.suspects.OneMore(r.Content):
		m.giveUp(now, p, r, ReasonCrashes)
	case now >= r.Deadline:
		m.giveUp(now, p, r, ReasonDeadline)
	case r.attempt >= r.Attempts:
		m.giveUp(now, p, r, ReasonAttempts)
	case o == Moved && r.placement.moving: // the move was charged to the budget already
		m.enqueue(now, p, r)
	case !p.budget.spend(now, m.options.Budget, m.routers):
		m.giveUp(now, p, r, ReasonBudget)
	default:
		m.enqueue(now, p, r)
	}
}

// refuseWaiting refuses a queued request.
func (m *Machine) refuseWaiting(now time.Duration, p *pool, r *run) {
	p.queue.remove(r)
	reason := ReasonOverload
	switch {
	case len(p.order) == 0:
		reason = ReasonNoServers
	case r.above:
		reason = ReasonShare
	}
	m.giveUp(now, p, r, reason)
}

// giveUp ends a request. It is refused if it has certainly not run, and fails otherwise.
func (m *Machine) giveUp(now time.Duration, p *pool, r *run, reason Reason) {
	r.waiting = false
	delete(m.runs, r.ID)
	if r.mayRan {
		m.emit(FailCmd{ID: r.ID, Reason: reason})
		return
	}
	m.emit(RefuseCmd{ID: r.ID, Reason: reason, After: m.retryAfter(now, p, r, reason), Share: r.over})
}

// retryAfter returns when a refused request is expected to find capacity: when the servers have
// processed their backlog or, if none takes requests, when the first backoff ends. An offset of
// 0.5 to 1.5 objectives, by a hash of team and ID, keeps callers from returning all at once. A
// team above its share also waits for its allowance.
func (m *Machine) retryAfter(now time.Duration, p *pool, r *run, reason Reason) time.Duration {
	if reason == ReasonCrashes {
		return quarantine.Hold
	}
	backlog, n := 0.0, 0
	for _, s := range p.order {
		if !s.takes(now, r.Regions) {
			continue
		}
		if p.engine != nil {
			backlog += float64(s.allPending()) / p.rateOf(s)
		} else {
			backlog += s.latency * float64(s.allRunning()) / float64(max(s.Slots, 1))
		}
		n++
	}
	if n > 0 {
		backlog /= float64(n)
	}
	jitter := float64(xxhash.Sum64String(r.Team)^uint64(r.ID)*0x9e3779b97f4a7c15) / (1 << 64)
	after := milliseconds(backlog) + time.Duration(float64(r.Objective)*(0.5+jitter))
	if n == 0 {
		backoff, _ := p.shortestBackoff(now, r.Regions)
		after += backoff
	}
	if reason == ReasonShare {
		after += m.allowanceDelay(now, r.Team)
	}
	return after
}

// allowanceDelay returns how long a team's allowance takes to cover the demand that was not
// served lately. A caller that returns sooner finds other requests of its team ahead of it.
func (m *Machine) allowanceDelay(now time.Duration, name string) time.Duration {
	t := m.team(name)
	bounds := m.boundsOf(t)
	rate := min(bounds.level, bounds.even)
	if rate <= 0 || math.IsInf(rate, 0) {
		return minAllowanceDelay
	}
	unserved := max(t.offeredRate(now)-t.servedRate(now), 0) * useWindow.Seconds()
	seconds := min(unserved/rate, maxAllowanceDelay.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minAllowanceDelay)
}

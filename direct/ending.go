package direct

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftvale/croftvale/quarantine"
)

// hungWeight is how many failures a server counts that said nothing.
const hungFailureWeight = 2

const (
	// overdueLeast and overdueMost bound the time that a team's callers are told to stay
	// away for what it asked for beyond what it may have.
	minAllowanceDelay = time.Second
	maxAllowanceDelay = 10 * time.Second
)

// end takes in how an attempt ended, and decides whether there is another.
func (m *Machine) endAttempt(msg AttemptEndMsg) {
	r := m.requests[msg.ID]
	if r == nil || r.currentServer == nil {
		return
	}
	p := m.pool(r.Service)
	s := r.currentServer
	r.currentServer = nil
	s.release(r)
	m.refund(msg.Now, r, msg.Outcome)
	m.recordCrashEvidence(msg.Now, r, s, msg.Outcome)
	m.observeEnd(p, msg, r, s)
	p.recordEnded(r, s, msg.Outcome)
	switch {
	case msg.Outcome == Unsent && msg.ConnRefused && s.lapsedAt > 0:
		m.dropRefusing(msg.Now, p, s)
	case !msg.RouterLate || msg.Outcome == Done:
		m.recordOutcome(msg.Now, p, s, msg.Outcome)
	}
	if msg.Retry {
		m.retry(msg.Now, p, r, msg.Outcome)
	} else {
		delete(m.requests, r.ID)
	}
	m.serveQueue(msg.Now, p, serveBatch)
}

// judge takes in what an outcome says of a server.
func (m *Machine) recordOutcome(now time.Duration, p *pool, s *server, o Outcome) {
	switch o {
	case Done, Failed, NotRun, Elsewhere:
		m.recordResponse(now, s)
	case Unsent:
		m.recordUnreachable(now, s)
	}
	switch o {
	case Done:
		if s.recordSuccess() {
			s.lastPause /= 2
			m.emit(ServerStatusCmd{Server: s.Server, Status: StatusRestored, Cause: "answered"})
		}
	case NotRun:
		s.fullUntil = now + defaultFullPause
	case Unsent, Elsewhere:
		m.emit(ServerStatusCmd{Server: s.Server, Status: StatusEjected, Cause: o.String(), For: s.markDown(now)})
	case Failed, Broken:
		m.recordFailure(now, p, s, 1, o)
	case Hung:
		m.recordFailure(now, p, s, hungFailureWeight, o)
	}
}

func (m *Machine) recordFailure(now time.Duration, p *pool, s *server, weight int, o Outcome) {
	side := p.sameSide(s)
	if !s.recordFailure(weight, medianFailureRate(side)) || ejectionCapReached(now, side) || !m.enabled(Ejection) {
		return
	}
	m.emit(ServerStatusCmd{Server: s.Server, Status: StatusEjected, Cause: o.String(), For: s.eject(now)})
}

// again decides on another attempt for a request whose last one brought no
// answer.
func (m *Machine) retry(now time.Duration, p *pool, r *requestState, o Outcome) {
	switch o {
	case Unsent, Withheld:
		r.attempt--
		r.unsentAttempts++
		if r.unsentAttempts >= maxUnsentAttempts {
			m.giveUp(now, p, r, ReasonNoServers)
			return
		}
		m.enqueue(now, p, r)
		return
	case NotRun, Elsewhere:
	default:
		r.mayHaveRun = true
		if !r.MayRepeat {
			m.giveUp(now, p, r, ReasonAtMostOnce)
			return
		}
	}
	switch {
	// The probe that tells of a crash has not ended yet, and a fourth server would be lost.
	case (o == Broken || o == Hung) && !r.clearedOfCrash(now) && m.suspects.OneCrashFromBarred(r.Fingerprint):
		m.giveUp(now, p, r, ReasonQuarantined)
	case now >= r.Deadline:
		m.giveUp(now, p, r, ReasonDeadline)
	case r.attempt >= r.Attempts:
		m.giveUp(now, p, r, ReasonAttempts)
	case o == Moved && r.placement.moving: // the budget was charged with the move
		m.enqueue(now, p, r)
	case !p.retryWindow.trySpend(now, m.options.RetryBudget, m.routers):
		m.giveUp(now, p, r, ReasonRetryBudget)
	default:
		m.enqueue(now, p, r)
	}
}

// refuse ends a request that waits.
func (m *Machine) refuseWaiting(now time.Duration, p *pool, r *requestState) {
	p.queue.remove(r)
	reason := ReasonOverload
	switch {
	case len(p.admitted) == 0:
		reason = ReasonNoServers
	case r.throttled:
		reason = ReasonOverShare
	}
	m.giveUp(now, p, r, reason)
}

// giveUp ends a request: it is refused where it has certainly not run.
func (m *Machine) giveUp(now time.Duration, p *pool, r *requestState, reason Reason) {
	r.waiting = false
	delete(m.requests, r.ID)
	if r.mayHaveRun {
		m.emit(FailCmd{ID: r.ID, Reason: reason})
		return
	}
	m.emit(RefuseCmd{ID: r.ID, Reason: reason, RetryAfter: m.retryAfter(now, p, r, reason), Share: r.shareRatio})
}

// comeBack says when a refused request would find room: when the servers have
// read what they have now, or the first of them wants requests again, and spread
// over half an objective so that not all come at once. A team above its share is
// told to wait for its allowance too.
func (m *Machine) retryAfter(now time.Duration, p *pool, r *requestState, reason Reason) time.Duration {
	if reason == ReasonQuarantined {
		return quarantine.Retention
	}
	backlog, n := 0.0, 0
	for _, s := range p.admitted {
		if !s.accepts(now, r.Regions) {
			continue
		}
		if p.engine != nil {
			backlog += float64(s.totalPending()) / p.tokenRateOf(s)
		} else {
			backlog += s.latencyMS * float64(s.totalRunning()) / float64(max(s.Slots, 1))
		}
		n++
	}
	if n > 0 {
		backlog /= float64(n)
	}
	jitter := float64(xxhash.Sum64String(r.Team)^uint64(r.ID)*0x9e3779b97f4a7c15) / (1 << 64)
	after := milliseconds(backlog) + time.Duration(float64(r.Objective)*(0.5+jitter))
	if n == 0 {
		soonest, _ := p.shortestBackoff(now, r.Regions)
		after += soonest
	}
	if reason == ReasonOverShare {
		after += m.allowanceDelay(now, r.Team)
	}
	return after
}

// overdue is how long a team's allowance takes to cover what the team has lately asked for
// and not got: a caller that comes back sooner finds others of its team before it.
func (m *Machine) allowanceDelay(now time.Duration, name string) time.Duration {
	t := m.team(name)
	bounds := m.limitsOf(t)
	rate := min(bounds.level, bounds.evenCap)
	if rate <= 0 || math.IsInf(rate, 0) {
		return minAllowanceDelay
	}
	unserved := max(t.offeredRate(now)-t.servedRate(now), 0) * usageWindow.Seconds()
	seconds := min(unserved/rate, maxAllowanceDelay.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minAllowanceDelay)
}

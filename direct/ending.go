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
	// minRefillDelay and maxRefillDelay bound the retry delay for callers of a team that has
	// exceeded its rate limit.
	minRefillDelay = time.Second
	maxRefillDelay = 10 * time.Second
	// minRetryAfter is the shortest retry delay, as a route may have no objective to derive one from.
	minRetryAfter = 20 * time.Millisecond
)

// endAttempt handles the end of an attempt and decides whether to retry.
func (m *Machine) endAttempt(msg AttemptEndMsg) {
	r := m.requests[msg.ID]
	if r == nil || r.currentServer == nil {
		return
	}
	p := m.pool(r.Service)
	s := r.currentServer
	r.currentServer = nil
	s.release(r)
	if r.backupOf != nil {
		r.backupOf.recordBackupEnd(r, s, msg.Outcome)
		msg.Retry = false
		if msg.Outcome.isUnsent() {
			p.retryWindow.giveBack()
		}
	}
	m.refund(msg.Now, r, msg.Outcome)
	aborted := r.aborted
	r.aborted = false
	if aborted && (msg.Outcome == Broken || msg.Outcome == Hung) {
		m.endAborted(msg, p, r, s)
		return
	}
	if !msg.NotSent {
		m.recordCrashEvidence(msg.Now, r, s, msg.Outcome, msg.Unframed)
	}
	m.observeEnd(p, msg, r, s)
	p.recordEnded(r, s, msg.Outcome)
	// A host that refuses a connection can be reached: its process has ended, which is no evidence
	// about the other servers of its hall.
	if msg.Outcome == Unsent && !msg.ConnRefused && !msg.RouterLate {
		m.recordUnreachable(msg.Now, s)
	}
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

// endAborted ends an attempt that this router has aborted, which is no evidence about its server. It
// counts towards the requests that the server's version has had.
func (m *Machine) endAborted(msg AttemptEndMsg, p *pool, r *requestState, s *server) {
	p.recordEnded(r, s, msg.Outcome)
	if msg.Retry {
		m.retry(msg.Now, p, r, msg.Outcome)
	} else {
		delete(m.requests, r.ID)
	}
	m.serveQueue(msg.Now, p, serveBatch)
}

// recordOutcome updates the health of a server with the outcome of an attempt.
func (m *Machine) recordOutcome(now time.Duration, p *pool, s *server, o Outcome) {
	switch o {
	case Done, Failed, NotRun, Elsewhere:
		m.recordResponse(now, s)
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
	case Failed, Broken, Unidentified:
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

// retry decides whether a request whose last attempt was unsuccessful gets another one.
func (m *Machine) retry(now time.Duration, p *pool, r *requestState, o Outcome) {
	switch o {
	case Unsent, Withheld, Unidentified:
		if r.countedVisit {
			r.attempt--
		}
		r.unsentAttempts++
		if r.unsentAttempts >= maxUnsentAttempts {
			m.giveUp(now, p, r, ReasonNoServers)
			return
		}
		m.enqueue(now, p, r)
		return
	case NotRun, Elsewhere:
		if r.mayHaveRun && r.countedVisit {
			r.attempt-- // a retry that did not run: other servers may still have a slot
		}
	default:
		r.mayHaveRun = true
		if !r.MayRepeat {
			m.giveUp(now, p, r, ReasonAtMostOnce)
			return
		}
	}
	switch {
	case (o == Broken || o == Hung) && m.mayCrashAnother(now, r):
		m.giveUp(now, p, r, ReasonQuarantined)
	case now >= r.Deadline:
		m.giveUp(now, p, r, ReasonDeadline)
	case r.attemptsUsedUp():
		m.giveUp(now, p, r, ReasonAttempts)
	case !p.retryWindow.trySpend(now, m.options.RetryBudget, m.routers):
		m.giveUp(now, p, r, ReasonRetryBudget)
	default:
		m.enqueue(now, p, r)
	}
}

// mayCrashAnother reports whether a request might crash one server too many: the probe that detects
// a crash of its current server is still running.
func (m *Machine) mayCrashAnother(now time.Duration, r *requestState) bool {
	return !r.clearedOfCrash(now) && (m.suspects.OneCrashFromBarred(r.Fingerprint) || m.nearlyBarredPart(&r.Request))
}

// refuseWaiting refuses a queued request.
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

// giveUp ends a request. It is refused if it has certainly not run, and fails otherwise.
func (m *Machine) giveUp(now time.Duration, p *pool, r *requestState, reason Reason) {
	r.waiting = false
	delete(m.requests, r.ID)
	if r.mayHaveRun && r.backupOf == nil {
		m.emit(FailCmd{ID: r.ID, Reason: reason})
		return
	}
	m.emit(RefuseCmd{ID: r.ID, Reason: reason, RetryAfter: max(m.retryAfter(now, p, r, reason), minRetryAfter), Share: r.shareRatio})
}

// retryAfter returns when a refused request is expected to find capacity: when the servers have
// processed their backlog or, if none accepts requests, when the first backoff ends. An offset
// of 0.5 to 1.5 objectives, by a hash of team and ID, keeps callers from returning all at once.
// A team above its share also waits until its rate limit covers its demand.
func (m *Machine) retryAfter(now time.Duration, p *pool, r *requestState, reason Reason) time.Duration {
	if reason == ReasonQuarantined {
		if m.suspects.IsBarred(r.Fingerprint) || !m.partSuspects.HasBarred() {
			return quarantine.Retention
		}
		return m.partRetryAfter(now, &r.Request)
	}
	backlog, n := 0.0, 0
	for _, s := range p.serversFor(&r.Request) {
		if !s.accepts(now, &r.Request) {
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
		backoff, _ := p.shortestBackoff(now, &r.Request)
		after += backoff
	}
	if reason == ReasonOverShare {
		after += m.refillDelay(now, r.Team)
	}
	return after
}

// refillDelay returns how long a team's rate limit takes to cover the demand that was not
// served lately. A caller that returns sooner finds other requests of its team ahead of it.
func (m *Machine) refillDelay(now time.Duration, name string) time.Duration {
	t := m.team(name)
	limits := m.limitsOf(t)
	rate := min(limits.level, limits.evenCap)
	if rate <= 0 || math.IsInf(rate, 0) {
		return minRefillDelay
	}
	unserved := max(t.offeredRate(now)-t.servedRate(now), 0) * usageWindow.Seconds()
	seconds := min(unserved/rate, maxRefillDelay.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRefillDelay)
}

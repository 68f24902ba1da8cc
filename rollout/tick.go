package rollout

import "time"

// tick advances the rollouts of all services.
func (m *Machine) tick(msg TickMsg) {
	m.leads, m.routers, m.wall = msg.Leads, msg.Routers, msg.Wall
	if !m.ordersLoaded || !m.recordsLoaded || !m.versionsLoaded {
		return
	}
	for _, s := range m.sortedServices() {
		if s.rollout != nil {
			s.rollout.oldRunning = uint32(max(0, msg.OldRunning[s.name]))
			s.rollout.requests = msg.Requests[s.name]
			m.advance(s, msg.Now)
		}
		if m.leads {
			m.write(s, msg.Now, msg.Wall)
		}
	}
}

// minTrialTime is the least time for which a version gets the trial's full fraction, however
// good its evidence is: the first seconds show little about later ones.
const minTrialTime = 3 * time.Second

// advance evaluates a rollout and, on the leader, moves it to its next step.
func (m *Machine) advance(s *service, now time.Duration) {
	r := s.rollout
	r.advanceClock(now)
	m.evaluate(s, now)
	r.trialPassed = r.judge.Verdict() == Good && r.observed >= minTrialTime
	m.followPeers(s)
	if !m.leads {
		return
	}
	m.rejectOverdue(s, now)
	if next, due := r.nextStage(); due && (next <= Trial || r.mayRamp(m.routers)) {
		m.raiseStage(s, next, causeTime)
	}
	m.confirm(s, now)
}

// evaluate evaluates the evidence and applies the verdict. It is called at each tick, and as soon
// as peers report more bad responses.
func (m *Machine) evaluate(s *service, now time.Duration) {
	verdict := s.rollout.evaluate(now)
	m.updateSuspicion(s)
	m.applyVerdict(s, verdict, now)
}

// updateSuspicion limits a suspected target to a quarter of the requests and prevents its
// completion, until the evidence against it decays or suffices to reject it. Requests that it
// gets meanwhile can't be taken back, while a short delay of the rollout costs callers nothing.
func (m *Machine) updateSuspicion(s *service) {
	r := s.rollout
	suspected := !r.trusted && r.judge.Suspected()
	if suspected == r.suspected {
		return
	}
	r.suspected = suspected
	if !suspected {
		m.emitStep(s, StepCleared, causeEvidence)
		return
	}
	r.confirmed = false
	m.emitStep(s, StepSuspected, causeEvidence)
}

// applyVerdict stops sending to a bad target: the leader rejects it permanently, other routers
// begin a hold. It also ends a hold whose time is over.
func (m *Machine) applyVerdict(s *service, verdict Verdict, now time.Duration) {
	r := s.rollout
	if verdict == Bad && m.leads {
		m.reject(s, causeEvidence)
		return
	}
	if r.hold.active && now >= r.hold.until {
		r.hold.active = false
		r.judge.CapEvidence()
		m.emitStep(s, StepReleased, causeTime)
		return
	}
	if verdict == Bad && !r.hold.active && !r.rejected {
		r.hold.begin(now)
		m.emitStep(s, StepHeld, causeEvidence)
	}
}

func (m *Machine) reject(s *service, cause string) {
	if s.rollout.reject(cause) {
		m.emitStep(s, StepRejected, cause)
	}
}

// rejectOverdue rejects a target to which the service can no longer move before the deadline.
func (m *Machine) rejectOverdue(s *service, now time.Duration) {
	r := s.rollout
	if r.age >= r.plan.latestRampAt && r.stage <= Trial && !r.mayRamp(m.routers) {
		m.reject(s, causeNoEvidence)
	}
	if r.age >= r.plan.latestRampAt && r.stage <= Trial && !r.hasServers {
		m.reject(s, causeNoServers)
	}
	if r.stage == All && !r.hasServers && now-r.serversLostAt >= missingServersTimeout {
		m.reject(s, causeNoServers)
	}
	if r.age >= r.plan.rejectAt && !r.allInLastStage() {
		m.reject(s, causeDeadline)
	}
}

// awaitsMoreEvidence reports whether there is some evidence against the target and time left for
// more: a completed rollout can't be undone. When no time is left, the rollout is completed all
// the same, so one faulty server does not prevent the completion of a good version.
func (r *rollout) awaitsMoreEvidence() bool {
	return !r.trusted && r.judge.WeaklySuspected() && r.age < r.plan.rejectAt
}

// confirm decides to complete the rollout, once the old servers are drained or when the final
// status is due.
func (m *Machine) confirm(s *service, now time.Duration) {
	r := s.rollout
	drained := r.oldDrained(now, m.routers)
	if r.confirmed || r.stopped() || r.stage != All || r.awaitsMoreEvidence() {
		return
	}
	if drained {
		r.confirmed = true
		m.emitStep(s, StepConfirmed, causeOldDrained)
		return
	}
	if r.age >= r.plan.writeAt && r.allInLastStage() {
		r.confirmed = true
		m.emitStep(s, StepConfirmed, causeDeadline)
	}
}

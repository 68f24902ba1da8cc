package rollout

import "time"

// tick lets time pass for every service.
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

// watchAfter is how long a version is tried at the trial's whole part, however well the evidence
// speaks for it: what its first moments show says little of what comes later.
const minTrialTime = 3 * time.Second

// advance judges and moves one roll-out on.
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

// judge takes in the evidence and stops what it speaks against: at each tick, and as soon as other
// routers tell of bad answers.
func (m *Machine) evaluate(s *service, now time.Duration) {
	verdict := s.rollout.evaluate(now)
	m.updateSuspicion(s)
	m.applyVerdict(s, verdict, now)
}

// suspect has the target get no more than a quarter of the requests, and keeps it from being completed,
// for as long as evidence speaks against it that does not decide: what it gets meanwhile can't
// be taken back, and going on a little later costs callers nothing.
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

// stop closes the target where the evidence says that it is bad: for good where this router
// leads, else for a time. It reopens it when that time is over.
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

// giveUp rejects a target to which the service can't be moved in time.
func (m *Machine) rejectOverdue(s *service, now time.Duration) {
	r := s.rollout
	if r.age >= r.plan.latestRampAt && r.stage <= Trial && !r.mayRamp(m.routers) {
		m.reject(s, causeNoProof)
	}
	if r.age >= r.plan.latestRampAt && r.stage <= Trial && !r.hasServers {
		m.reject(s, causeServers)
	}
	if r.stage == All && !r.hasServers && now-r.serversLostAt >= missingServersTimeout {
		m.reject(s, causeServers)
	}
	if r.age >= r.plan.rejectAt && !r.allInLastStage() {
		m.reject(s, causeDeadline)
	}
}

// mayYetTurn tells whether some evidence speaks against the target and there is time for more: what is
// completed can't be taken back. One faulty server does not keep a good version from being
// completed in the end.
func (r *rollout) awaitsMoreEvidence() bool {
	return !r.trusted && r.judge.WeaklySuspected() && r.age < r.plan.rejectAt
}

// confirm decides that the roll-out is to be completed: nothing runs at old servers any
// more, or the time for the last write has come.
func (m *Machine) confirm(s *service, now time.Duration) {
	r := s.rollout
	drained := r.oldDrained(now, m.routers)
	if r.confirmed || r.stopped() || r.stage != All || r.awaitsMoreEvidence() {
		return
	}
	if drained {
		r.confirmed = true
		m.emitStep(s, StepConfirmed, causeIdle)
		return
	}
	if r.age >= r.plan.writeAt && r.allInLastStage() {
		r.confirmed = true
		m.emitStep(s, StepConfirmed, causeDeadline)
	}
}

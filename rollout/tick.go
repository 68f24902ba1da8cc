package rollout

import "time"

// tick lets time pass for every service.
func (m *Machine) tick(msg TickMsg) {
	m.leads, m.routers, m.wall = msg.Leads, msg.Routers, msg.Wall
	if !m.orders || !m.records || !m.listed {
		return
	}
	for _, s := range m.sorted() {
		if s.rollout != nil {
			s.rollout.oldRunning = uint32(max(0, msg.OldRunning[s.name]))
			s.rollout.asked = msg.Requests[s.name]
			m.advance(s, msg.Now)
		}
		if m.leads {
			m.write(s, msg.Now, msg.Wall)
		}
	}
}

// watchAfter is how long a version is tried at the trial's whole part, however well the evidence
// speaks for it: what its first moments show says little of what comes later.
const watchAfter = 3 * time.Second

// advance judges and moves one roll-out on.
func (m *Machine) advance(s *service, now time.Duration) {
	r := s.rollout
	r.pass(now)
	m.judge(s, now)
	r.watching = r.judge.Verdict() == Good && r.watched >= watchAfter
	m.follow(s)
	if !m.leads {
		return
	}
	m.giveUp(s, now)
	if next, due := r.next(); due && (next <= Trial || r.proven(m.routers)) {
		m.raise(s, next, causeTime)
	}
	m.confirm(s, now)
}

// judge takes in the evidence and stops what it speaks against: at each tick, and as soon as other
// routers tell of bad answers.
func (m *Machine) judge(s *service, now time.Duration) {
	verdict := s.rollout.look(now)
	m.suspect(s)
	m.stop(s, verdict, now)
}

// suspect has the target get no more than a quarter of the requests, and keeps it from being completed,
// for as long as evidence speaks against it that does not decide: what it gets meanwhile can't
// be taken back, and going on a little later costs callers nothing.
func (m *Machine) suspect(s *service) {
	r := s.rollout
	suspected := !r.trusted && r.judge.Suspected()
	if suspected == r.suspected {
		return
	}
	r.suspected = suspected
	if !suspected {
		m.step(s, StepCleared, causeEvidence)
		return
	}
	r.confirmed = false
	m.step(s, StepSuspected, causeEvidence)
}

// stop closes the target where the evidence says that it is bad: for good where this router
// leads, else for a time. It reopens it when that time is over.
func (m *Machine) stop(s *service, verdict Verdict, now time.Duration) {
	r := s.rollout
	if verdict == Bad && m.leads {
		m.reject(s, causeEvidence)
		return
	}
	if r.hold.on && now >= r.hold.until {
		r.hold.on = false
		r.judge.CapEvidence()
		m.step(s, StepReleased, causeTime)
		return
	}
	if verdict == Bad && !r.hold.on && !r.rejected {
		r.hold.begin(now)
		m.step(s, StepHeld, causeEvidence)
	}
}

func (m *Machine) reject(s *service, cause string) {
	if s.rollout.reject(cause) {
		m.step(s, StepRejected, cause)
	}
}

// giveUp rejects a target to which the service can't be moved in time.
func (m *Machine) giveUp(s *service, now time.Duration) {
	r := s.rollout
	if r.age >= r.plan.lastRamp && r.stage <= Trial && !r.proven(m.routers) {
		m.reject(s, causeNoProof)
	}
	if r.age >= r.plan.lastRamp && r.stage <= Trial && !r.serversThere {
		m.reject(s, causeServers)
	}
	if r.stage == All && !r.serversThere && now-r.serversGone >= goneFor {
		m.reject(s, causeServers)
	}
	if r.age >= r.plan.giveUp && !r.everywhere() {
		m.reject(s, causeDeadline)
	}
}

// mayYetTurn tells whether some evidence speaks against the target and there is time for more: what is
// completed can't be taken back. One faulty server does not keep a good version from being
// completed in the end.
func (r *rollout) mayYetTurn() bool {
	return !r.trusted && r.judge.WeaklySuspected() && r.age < r.plan.giveUp
}

// confirm decides that the roll-out is to be completed: nothing runs at old servers any
// more, or the time for the last write has come.
func (m *Machine) confirm(s *service, now time.Duration) {
	r := s.rollout
	settled := r.settled(now, m.routers)
	if r.confirmed || r.stopped() || r.stage != All || r.mayYetTurn() {
		return
	}
	if settled {
		r.confirmed = true
		m.step(s, StepConfirmed, causeIdle)
		return
	}
	if r.age >= r.plan.write && r.everywhere() {
		r.confirmed = true
		m.step(s, StepConfirmed, causeDeadline)
	}
}

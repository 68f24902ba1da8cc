package rollout

import (
	"slices"
	"time"
)

// reconcile brings roll-outs in line with what the store and the lists of servers say.
func (m *Machine) reconcile(now time.Duration) {
	if !m.orders || !m.records {
		return
	}
	for _, s := range m.sorted() {
		m.settleOrder(s, now)
		m.settleVersions(s)
		m.settleRoll(s, now)
		m.tellUnordered(s)
	}
}

// settleOrder ends a roll-out whose order is over.
func (m *Machine) settleOrder(s *service, now time.Duration) {
	if s.roll != nil && s.order == nil {
		m.abandon(s, causeDeleted)
	}
	if s.roll != nil && s.order.Key() != s.roll.key {
		m.abandon(s, causeReplaced)
	}
	if s.order == nil {
		return
	}
	if s.order.status().Final() {
		m.end(s, s.order.State)
		return
	}
	if s.order.State.Final() && s.order.StateTarget != "" && s.ended == 0 {
		// The order before this one ended, and its leader may not have come to record it.
		s.apply(s.order.StateTarget, s.order.State)
	}
}

func (m *Machine) abandon(s *service, cause string) {
	m.step(s, StepAbandoned, cause)
	target, trusted := s.roll.order.Target, s.roll.trusted
	s.roll = nil
	if !trusted {
		s.reject(target)
	}
}

// end takes a final status as known. Nothing opens the order again.
func (m *Machine) end(s *service, state State) {
	s.apply(s.order.Target, state)
	if s.ended == s.order.Key() {
		s.roll = nil
		return
	}
	s.ended = s.order.Key()
	name := StepCompleted
	if state == RolledBack {
		name = StepRolledBack
	}
	m.step(s, name, causeStatus)
	s.roll = nil
}

func (m *Machine) settleVersions(s *service) {
	if s.inUse == nil {
		s.inUse = s.firstVersions()
	}
	if target := s.leftOver(); target != "" {
		s.apply(target, s.endOf(target))
	}
}

// settleRoll begins a roll-out, or takes in how its order has changed.
func (m *Machine) settleRoll(s *service, now time.Duration) {
	if s.order == nil || s.ended == s.order.Key() {
		return
	}
	if s.roll == nil {
		m.begin(s, now)
	}
	r := s.roll
	if r.order != *s.order {
		r.order = *s.order
		r.plan = newTimeline(r.order.Within)
	}
	if r.stage == Waiting {
		r.trusted = s.uses(r.order.Target)
	}
	if !r.trusted {
		s.rejected = without(s.rejected, r.order.Target)
	}
	there := slices.Contains(s.versions, r.order.Target)
	if r.serversThere && !there {
		r.serversGone = now
	}
	r.serversThere = there
}

func (m *Machine) begin(s *service, now time.Duration) {
	r := newRoll(*s.order, now)
	s.roll = r
	if s.record.Target == r.order.Target && s.record.Made == r.order.Made {
		r.recorded = s.record.Age + max(0, m.wall.Sub(s.record.Wall))
	}
	m.step(s, StepBegan, causeOrder)
	if !r.order.sensible() {
		m.step(s, StepSenseless, causeOrder)
		r.reject(causeOrder)
	}
	if s.again {
		r.reject(causeAgain)
		m.step(s, StepRejected, causeAgain)
	}
}

// tellUnordered logs, once, that a version has servers which get nothing.
func (m *Machine) tellUnordered(s *service) {
	if s.inUse == nil {
		return
	}
	for _, v := range s.versions {
		ordered := s.uses(v) || s.roll != nil && s.roll.order.Target == v
		if ordered || slices.Contains(s.told, v) {
			continue
		}
		s.told = remember(s.told, v)
		m.step(s, StepUnordered, v)
	}
}

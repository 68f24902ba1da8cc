package rollout

import (
	"slices"
	"time"
)

// reconcile updates the rollouts to the state of the store and the server lists.
func (m *Machine) reconcile(now time.Duration) {
	if !m.ordersLoaded || !m.recordsLoaded {
		return
	}
	for _, s := range m.sortedServices() {
		m.reconcileOrder(s, now)
		m.reconcileVersions(s)
		m.reconcileRollout(s, now)
		m.logUnordered(s)
	}
}

// reconcileOrder ends the rollout of an order that was completed, rolled back, replaced or deleted.
func (m *Machine) reconcileOrder(s *service, now time.Duration) {
	if s.rollout != nil && s.order == nil {
		m.abandon(s, causeDeleted)
	}
	if s.rollout != nil && s.order.Key() != s.rollout.orderKey {
		m.abandon(s, causeReplaced)
	}
	if s.order == nil {
		return
	}
	if s.order.status().Final() {
		m.finish(s, s.order.State)
		return
	}
	if s.order.State.Final() && s.order.StateTarget != "" && s.endedKey == 0 {
		// The status is that of the previous order. The leader may have stopped before it wrote
		// the record, so the status is applied here.
		s.applyFinalState(s.order.StateTarget, s.order.State)
	}
}

// abandon ends a rollout whose order was deleted or replaced, like a rollback.
func (m *Machine) abandon(s *service, cause string) {
	m.emitStep(s, StepAbandoned, cause)
	target, trusted := s.rollout.order.Target, s.rollout.trusted
	s.rollout = nil
	if !trusted {
		s.reject(target)
	}
}

// finish applies the final status of an order. The order is not started again.
func (m *Machine) finish(s *service, state State) {
	s.applyFinalState(s.order.Target, state)
	if s.endedKey == s.order.Key() {
		s.rollout = nil
		return
	}
	s.endedKey = s.order.Key()
	name := StepCompleted
	if state == RolledBack {
		name = StepRolledBack
	}
	m.emitStep(s, name, causeStatus)
	s.rollout = nil
}

// reconcileVersions determines the versions in use if no record has set them, and ends a rollout
// that is left in the record without its order.
func (m *Machine) reconcileVersions(s *service) {
	if s.inUse == nil {
		s.inUse = s.initialVersions()
	}
	if target := s.orphanedTarget(); target != "" {
		s.applyFinalState(target, s.orphanState(target))
	}
}

// reconcileRollout starts the rollout of an open order, or updates the running one.
func (m *Machine) reconcileRollout(s *service, now time.Duration) {
	if s.order == nil || s.endedKey == s.order.Key() {
		return
	}
	if s.rollout == nil {
		m.begin(s, now)
	}
	r := s.rollout
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
	hasServers := s.hasServers(r.order.Target)
	if r.hasServers && !hasServers {
		r.serversLostAt = now
	}
	r.hasServers = hasServers
}

// begin starts the rollout of a service's order.
func (m *Machine) begin(s *service, now time.Duration) {
	r := newRollout(*s.order, now)
	s.rollout = r
	if s.record.Target == r.order.Target && s.record.Made == r.order.Made {
		r.recordedAge = s.record.ageAt(m.wall, r.order.Within+maxOverdue)
	}
	m.emitStep(s, StepBegan, causeOrder)
	if !r.order.valid() {
		m.emitStep(s, StepInvalid, causeOrder)
		r.reject(causeOrder)
	}
	if s.reappeared {
		r.reject(causeReappeared)
		m.emitStep(s, StepRejected, causeReappeared)
	}
}

// logUnordered logs, once for each version, that it has servers but was never ordered: they get
// no requests.
func (m *Machine) logUnordered(s *service) {
	if s.inUse == nil {
		return
	}
	for _, v := range s.versions {
		ordered := s.uses(v) || s.rollout != nil && s.rollout.order.Target == v
		if ordered || slices.Contains(s.unorderedLogged, v) {
			continue
		}
		s.unorderedLogged = appendBounded(s.unorderedLogged, v)
		m.emitStep(s, StepUnordered, v)
	}
}

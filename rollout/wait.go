package rollout

import "slices"

// Wait is what a rollout waits for.
type Wait uint8

// The conditions that a rollout can wait for.
const (
	WaitNothing    Wait = iota
	WaitStore           // orders and records from the store
	WaitVersions        // first server list
	WaitServers         // servers of the target
	WaitHold            // other routers' evidence, or the end of this router's own hold
	WaitEvidence        // more responses of the target
	WaitTime            // time of the next step
	WaitRouters         // last stage at all routers
	WaitOldServers      // requests on old servers
	WaitStatus          // final status in the store
	WaitOrder           // an order: there are servers, but none of a version in use
)

// String returns the name of what is waited for.
func (w Wait) String() string {
	return [...]string{"nothing", "store", "versions", "servers", "hold", "evidence", "time",
		"routers", "old_servers", "status", "order"}[w]
}

// waitsFor returns what the rollout of a service waits for.
func (m *Machine) waitsFor(s *service) Wait {
	r := s.rollout
	switch {
	case !m.ordersLoaded || !m.recordsLoaded:
		return WaitStore
	case s.inUse == nil || !m.versionsLoaded:
		return WaitVersions
	case r == nil && len(s.versions) > 0 && !slices.ContainsFunc(s.inUse, s.hasServers):
		return WaitOrder
	case r == nil:
		return WaitNothing
	case r.rejected || r.confirmed:
		return WaitStatus
	case r.hold.active:
		return WaitHold
	case !r.hasServers:
		return WaitServers
	case r.stage == All && !r.allInLastStage():
		return WaitRouters
	case r.stage == All:
		return WaitOldServers
	case r.stage >= Trial && r.age >= r.plan.stageAt(r.stage+1):
		return WaitEvidence
	}
	return WaitTime
}

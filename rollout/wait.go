package rollout

import "slices"

// Wait says what a roll-out waits for.
type Wait uint8

// What a roll-out can wait for.
const (
	WaitNothing    Wait = iota
	WaitStore           // for orders and records from the store
	WaitVersions        // for a first list of servers
	WaitServers         // for servers of the target
	WaitHold            // for others, or some seconds, after this router stopped by itself
	WaitEvidence        // for more answers of the target
	WaitTime            // for the time of the next step
	WaitRouters         // for the last stage at all routers
	WaitOldServers      // for requests at old servers
	WaitStatus          // for the final status in the store
	WaitOrder           // for an order: servers are there, and none of a version in use
)

// String names what is waited for.
func (w Wait) String() string {
	return [...]string{"nothing", "store", "versions", "servers", "hold", "evidence", "time",
		"routers", "old_servers", "status", "order"}[w]
}

// waitsFor returns what the roll-out of a service waits for.
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

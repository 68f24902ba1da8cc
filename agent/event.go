package agent

import (
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
)

// event is what other goroutines tell the core.
type event interface{ isEvent() }

// arriveEvent brings a claimed request; the verdict goes to reply.
type requestEvent struct {
	seq       uint64
	key       fleet.DemandKey
	remaining int             // requests left in its line
	oldestAge time.Duration   // age of the oldest of them
	reply     chan<- decision // has room for one
}

// abandonEvent says that a router has given up a request that waits to start.
// One verdict always follows on reply, or is on its way already.
type cancelEvent struct {
	seq   uint64
	reply chan<- decision
}

// endEvent says that a request which came is over.
type runEndEvent struct{ seq uint64 }

// bundleEvent brings a bundle that is now in force.
type bundleEvent struct{ inForce bundle.InForce }

// healthEvent says whether the server takes work.
type healthEvent struct{ serving bool }

// leaveEvent says that the process has been asked to stop.
type shutdownEvent struct{}

// stateEvent asks for a dump.
type stateEvent struct{ reply chan<- State }

func (requestEvent) isEvent()  {}
func (cancelEvent) isEvent()   {}
func (runEndEvent) isEvent()   {}
func (bundleEvent) isEvent()   {}
func (healthEvent) isEvent()   {}
func (shutdownEvent) isEvent() {}
func (stateEvent) isEvent()    {}

// verdict says what becomes of a request that came.
type decision uint8

const (
	decisionStart decision = iota
	decisionReject
)

package agent

import (
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
)

// event is what other goroutines tell the core.
type event interface{ isEvent() }

// arriveEvent brings a claimed request; the verdict goes to reply.
type arriveEvent struct {
	seq    uint64
	key    fleet.DemandKey
	left   int            // requests left in its line
	oldest time.Duration  // age of the oldest of them
	reply  chan<- verdict // has room for one
}

// abandonEvent says that a router has given up a request that waits to start.
// One verdict always follows on reply, or is on its way already.
type abandonEvent struct {
	seq   uint64
	reply chan<- verdict
}

// endEvent says that a request which came is over.
type endEvent struct{ seq uint64 }

// bundleEvent brings a bundle that is now in force.
type bundleEvent struct{ inForce bundle.Active }

// healthEvent says whether the server takes work.
type healthEvent struct{ serving bool }

// leaveEvent says that the process has been asked to stop.
type leaveEvent struct{}

// stateEvent asks for a dump.
type stateEvent struct{ reply chan<- State }

func (arriveEvent) isEvent()  {}
func (abandonEvent) isEvent() {}
func (endEvent) isEvent()     {}
func (bundleEvent) isEvent()  {}
func (healthEvent) isEvent()  {}
func (leaveEvent) isEvent()   {}
func (stateEvent) isEvent()   {}

// verdict says what becomes of a request that came.
type verdict uint8

const (
	verdictStart verdict = iota
	verdictReject
)

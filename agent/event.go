package agent

import (
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
)

// event is a message from another goroutine to the core.
type event interface{ isEvent() }

// requestEvent submits a claimed request. The core sends its decision to reply.
type requestEvent struct {
	seq       uint64
	key       fleet.DemandKey
	remaining int             // requests that remain in its queue
	oldestAge time.Duration   // age of the oldest remaining request
	reply     chan<- decision // buffers one decision
}

// cancelEvent reports that a router has canceled a request that waits to start.
// The core always sends one decision to reply, unless one is already in it.
type cancelEvent struct {
	seq   uint64
	reply chan<- decision
}

// runEndEvent reports that a submitted request is finished.
type runEndEvent struct{ seq uint64 }

// bundleEvent carries the bundle that the core activates.
type bundleEvent struct{ active bundle.Active }

// healthEvent reports whether the backend server accepts requests.
type healthEvent struct{ serving bool }

// shutdownEvent reports that the process has been asked to stop.
type shutdownEvent struct{}

// stateEvent requests a state dump.
type stateEvent struct{ reply chan<- State }

func (requestEvent) isEvent()  {}
func (cancelEvent) isEvent()   {}
func (runEndEvent) isEvent()   {}
func (bundleEvent) isEvent()   {}
func (healthEvent) isEvent()   {}
func (shutdownEvent) isEvent() {}
func (stateEvent) isEvent()    {}

// decision instructs a request's goroutine to start or to reject the request.
type decision uint8

const (
	decisionStart decision = iota
	decisionReject
)

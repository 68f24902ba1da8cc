package router

import (
	"github.com/croftvale/croftvale/objectapi"
	"github.com/croftvale/croftvale/queue"
)

// event is what other goroutines tell the core.
type event interface{ isEvent() }

// arriveEvent brings a request; decisions about it go to reply.
type requestEvent struct {
	request     queue.Request
	idempotency *idempotency    // nil where the request needs none
	reply       chan<- decision // has room for one; no second comes before an answer to the first
}

// answerEvent says that a request's first answer byte went out.
type responseStartedEvent struct{ id queue.RequestID }

// endEvent says how a run ended.
type runEndEvent struct {
	id      queue.RequestID
	outcome queue.Outcome
	notRun  bool // done with, and known not to have run
}

// cancelEvent says that a caller has hung up. One decision always follows, or
// is on its way already.
type cancelEvent struct{ id queue.RequestID }

// bundleEvent brings a bundle that is now in force.
type bundleEvent struct{ prepared preparedBundle }

// hostsEvent brings the platform's list of hosts.
type hostsEvent struct{ hosts []objectapi.Host }

// leaveEvent says that the process has been asked to stop.
type shutdownEvent struct{}

// stateEvent asks for a dump.
type stateEvent struct{ reply chan<- State }

func (requestEvent) isEvent()         {}
func (responseStartedEvent) isEvent() {}
func (runEndEvent) isEvent()          {}
func (cancelEvent) isEvent()          {}
func (bundleEvent) isEvent()          {}
func (hostsEvent) isEvent()           {}
func (shutdownEvent) isEvent()        {}
func (stateEvent) isEvent()           {}

// decision is what the core tells a request's goroutine: run it, or answer it.
type decision struct {
	run    *grant
	refuse *queue.RefuseCmd
}

// grant says where a request runs.
type grant struct {
	claim     string
	remaining string          // what is left of the request's line
	serve     string          // the agent's address for granted requests
	abort     <-chan struct{} // closed when the run is given up, if nothing is answered yet
}

package router

import (
	"github.com/croftvale/croftvale/objectapi"
	"github.com/croftvale/croftvale/queue"
)

// event is a message from another goroutine to the core.
type event interface{ isEvent() }

// requestEvent submits a request. The core sends its decisions to reply.
type requestEvent struct {
	request     queue.Request
	idempotency *idempotency    // nil if the request needs no key
	reply       chan<- decision // buffers one decision; the core sends no other before the first is handled
}

// responseStartedEvent reports that the response to a request is about to be
// sent to the caller.
type responseStartedEvent struct{ id queue.RequestID }

// runEndEvent reports how a run ended.
type runEndEvent struct {
	id      queue.RequestID
	outcome queue.Outcome
	notRun  bool // the request is finished and has certainly not run
}

// cancelEvent reports that a caller has closed its connection. The core always
// sends one decision in response, unless one is already in the channel.
type cancelEvent struct{ id queue.RequestID }

// bundleEvent carries the bundle that the core activates.
type bundleEvent struct{ prepared preparedBundle }

// hostsEvent carries the platform's list of hosts.
type hostsEvent struct{ hosts []objectapi.Host }

// shutdownEvent reports that the process has been asked to stop.
type shutdownEvent struct{}

// stateEvent requests a state dump.
type stateEvent struct{ reply chan<- State }

func (requestEvent) isEvent()         {}
func (responseStartedEvent) isEvent() {}
func (runEndEvent) isEvent()          {}
func (cancelEvent) isEvent()          {}
func (bundleEvent) isEvent()          {}
func (hostsEvent) isEvent()           {}
func (shutdownEvent) isEvent()        {}
func (stateEvent) isEvent()           {}

// decision instructs a request's goroutine to run or to refuse the request. Both
// fields are nil after a cancellation.
type decision struct {
	run    *grant
	refuse *queue.RefuseCmd
}

// grant holds the claim that a request runs under and the agent that runs it.
type grant struct {
	claim     string
	remaining string          // state of the request's queue after the grant, as in relay.HeaderClaim
	address   string          // address at which the agent accepts granted requests
	abort     <-chan struct{} // closed to abort the run; no effect once the response has started
}

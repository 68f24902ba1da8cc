package gateway

import (
	"context"
	"net/http"
	"sync"

	"github.com/croftvale/croftvale/direct"
)

// reasonDraining is the reason of the responses to requests that a router no longer serves, as it ends.
const reasonDraining = "draining"

// drainRefusal refuses a request that has not run.
var drainRefusal = refusal{http.StatusServiceUnavailable, reasonDraining, drainRetryAfter}

// stopping holds the requests in progress, so that a router that ends can stop them. The zero value is ready
// to use.
type stopping struct {
	mu        sync.Mutex
	ended     bool // no request may be in progress any more
	exchanges map[*exchange]struct{}
}

// add begins the work on a request. It must be removed again.
func (s *stopping) add(x *exchange) {
	x.work, x.stopWork = context.WithCancel(x.ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		x.stopWork()
		return
	}
	if s.exchanges == nil {
		s.exchanges = make(map[*exchange]struct{})
	}
	s.exchanges[x] = struct{}{}
}

func (s *stopping) remove(x *exchange) {
	x.stopWork()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, x)
}

// end stops the work on all requests, so that they are answered now.
func (s *stopping) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for x := range s.exchanges {
		x.stopWork()
	}
}

// hasStopped reports whether the router has stopped the work on the request.
func (x *exchange) hasStopped() bool { return x.work.Err() != nil && x.ctx.Err() == nil }

// stopped ends a request whose work was stopped.
func (x *exchange) stopped() {
	if x.headSent || x.mayHaveRun.Load() {
		x.fail(reasonDraining)
		return
	}
	x.refuse(reasonDraining, drainRetryAfter)
}

// endStopped ends an attempt whose work was stopped, and its request. It may panic to abort a stream, so it
// reports the outcome to the machine first.
func (a *attempt) endStopped(o direct.Outcome) (direct.Outcome, bool) {
	if o.MayHaveRun() {
		o = direct.GivenUp
		a.x.mayHaveRun.Store(true)
	} else {
		o = direct.Withheld // its connection was given up, which is no evidence about the server
	}
	if a.x.headSent {
		a.reportEnd(o)
	}
	a.x.stopped()
	return o, true
}

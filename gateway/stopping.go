package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/servicetime"
)

// reasonDraining is the reason of the responses to requests that a router no longer serves, as it ends.
const reasonDraining = "draining"

// drainRefusal refuses a request that has not run.
var drainRefusal = refusal{http.StatusServiceUnavailable, reasonDraining, drainRetryAfter}

// stopping holds the requests in progress, and decides which of them a router that ends still sends to servers.
// The zero value is that of a router that goes on. Points in time are on the clock of the core.
type stopping struct {
	mu          sync.Mutex
	begun       bool
	acceptUntil time.Duration // until then, the balancer may send requests
	endsAt      time.Duration // by then, every request has ended
	exchanges   map[*exchange]struct{}
	times       map[string]*servicetime.Estimate // by route
}

// begin begins the end of the router.
func (s *stopping) begin(acceptUntil, endsAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun, s.acceptUntil, s.endsAt = true, acceptUntil, endsAt
}

// add begins the work on a request, and stops it at once if it would not end in time. The request must be
// removed again.
func (s *stopping) add(x *exchange) {
	x.work, x.endWork = context.WithCancelCause(x.ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exceeds(x.start, x) {
		x.endWork(errStopped)
		return
	}
	if s.exchanges == nil {
		s.exchanges = make(map[*exchange]struct{})
	}
	s.exchanges[x] = struct{}{}
}

func (s *stopping) remove(x *exchange) {
	x.endWork(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, x)
}

// stopLate stops the work on requests that are at no server and would not end in time, and in the end on all.
func (s *stopping) stopLate(now, endsAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endsAt = endsAt
	for x := range s.exchanges {
		if now >= endsAt || !x.busy.Load() && s.exceeds(now, x) {
			x.endWork(errStopped)
		}
	}
}

// isTooLate reports whether a request is no longer sent to a server.
func (s *stopping) isTooLate(now time.Duration, x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exceeds(now, x)
}

// exceeds reports whether a request that is sent now may not end before the router. One that can be repeated
// is worth a try if most would end; one that can't be repeated would be lost. s.mu is held.
func (s *stopping) exceeds(now time.Duration, x *exchange) bool {
	if !s.begun {
		return false
	}
	left, times := s.endsAt-now, s.estimate(x.route.Name)
	isStream := x.route.Kind == direct.Stream
	switch {
	case left <= 0 || isStream && x.start >= s.acceptUntil:
		return true
	case x.start >= s.acceptUntil, isStream && now >= s.acceptUntil:
		return !times.IsKnown() || times.Longest() > left
	case x.route.MayRepeat():
		return times.Typical() > left
	}
	return times.Longest() > left
}

func (s *stopping) estimate(route string) servicetime.Estimate {
	if times := s.times[route]; times != nil {
		return *times
	}
	return servicetime.Estimate{}
}

// observe records how long a request took at its last server, and for how much of that this process stalled.
func (s *stopping) observe(route string, took, stalled time.Duration, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := s.times[route]
	if times == nil {
		if s.times == nil {
			s.times = make(map[string]*servicetime.Estimate)
		}
		times = &servicetime.Estimate{}
		s.times[route] = times
	}
	took = times.WithoutStall(took, stalled)
	if served {
		times.Observe(took)
		return
	}
	times.ObserveAtLeast(took)
}

// retainRoutes drops the routes that are no longer configured.
func (s *stopping) retainRoutes(configured func(route string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.times, func(route string, _ *servicetime.Estimate) bool { return !configured(route) })
}

// observeTime records how long the request took at its last server. What is left of a stream tells nothing
// about a whole one.
func (x *exchange) observeTime(served bool) {
	if x.current != nil && x.info.AfterEvent == "" {
		now := x.front.core.Now()
		x.front.stopping.observe(x.route.Name, now-x.current.startedAt, x.front.core.stalls.Total(now)-x.current.stalled, served)
	}
}

// hasStopped reports whether the router has stopped the work on the request. It remains so if ctx ends
// afterwards: net/http takes a read deadline that ends the read of a body for a caller that leaves.
func (x *exchange) hasStopped() bool { return errors.Is(context.Cause(x.work), errStopped) }

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

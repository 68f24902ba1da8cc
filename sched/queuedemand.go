package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// routerDemand is how many requests of a line wait at one router.
type routerDemand struct {
	router  fleet.Name
	waiting int
	oldest  time.Duration // when the oldest came, on this machine's clock
	// suspended means that the router does not answer claims: what waits there
	// does not count until it does.
	suspended bool
}

// claimable returns how many requests may be claimed.
func (s *routerDemand) claimable() int {
	if s.suspended {
		return 0
	}
	return s.waiting
}

// queueDemand is one team's waiting requests of one class for one work, by router.
type queueDemand struct {
	key     fleet.DemandKey
	routers []routerDemand // by router
	waiting int            // that may be claimed
}

func (l *queueDemand) find(router fleet.Name) (int, bool) {
	return slices.BinarySearchFunc(l.routers, router, func(s routerDemand, n fleet.Name) int {
		return cmp.Compare(s.router, n)
	})
}

// set replaces what is known of one router.
func (l *queueDemand) set(router fleet.Name, waiting int, oldest time.Duration) {
	i, ok := l.find(router)
	if !ok {
		l.routers = slices.Insert(l.routers, i, routerDemand{router: router})
	}
	s := &l.routers[i]
	before := s.claimable()
	s.waiting = waiting
	s.oldest = oldest
	l.waiting += s.claimable() - before
}

// setSuspended says whether what waits at one router counts.
func (l *queueDemand) setSuspended(router fleet.Name, suspended bool) {
	i, ok := l.find(router)
	if !ok {
		return
	}
	s := &l.routers[i]
	before := s.claimable()
	s.suspended = suspended
	l.waiting += s.claimable() - before
}

// removeRouter drops one router.
func (l *queueDemand) removeRouter(router fleet.Name) {
	i, ok := l.find(router)
	if !ok {
		return
	}
	l.waiting -= l.routers[i].claimable()
	l.routers = slices.Delete(l.routers, i, i+1)
}

// oldest returns the source whose request has waited longest, or nil.
func (l *queueDemand) oldest() *routerDemand {
	var best *routerDemand
	for i := range l.routers {
		s := &l.routers[i]
		if s.claimable() == 0 {
			continue
		}
		if best == nil || s.oldest < best.oldest {
			best = s
		}
	}
	return best
}

// decrement counts one request less at a source.
func (l *queueDemand) decrement(s *routerDemand) {
	s.waiting--
	l.waiting--
}

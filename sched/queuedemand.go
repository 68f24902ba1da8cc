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

func (q *queueDemand) find(router fleet.Name) (int, bool) {
	return slices.BinarySearchFunc(q.routers, router, func(s routerDemand, n fleet.Name) int {
		return cmp.Compare(s.router, n)
	})
}

// set replaces what is known of one router.
func (q *queueDemand) set(router fleet.Name, waiting int, oldest time.Duration) {
	i, ok := q.find(router)
	if !ok {
		q.routers = slices.Insert(q.routers, i, routerDemand{router: router})
	}
	s := &q.routers[i]
	before := s.claimable()
	s.waiting = waiting
	s.oldest = oldest
	q.waiting += s.claimable() - before
}

// setSuspended says whether what waits at one router counts.
func (q *queueDemand) setSuspended(router fleet.Name, suspended bool) {
	i, ok := q.find(router)
	if !ok {
		return
	}
	s := &q.routers[i]
	before := s.claimable()
	s.suspended = suspended
	q.waiting += s.claimable() - before
}

// removeRouter drops one router.
func (q *queueDemand) removeRouter(router fleet.Name) {
	i, ok := q.find(router)
	if !ok {
		return
	}
	q.waiting -= q.routers[i].claimable()
	q.routers = slices.Delete(q.routers, i, i+1)
}

// oldest returns the source whose request has waited longest, or nil.
func (q *queueDemand) oldest() *routerDemand {
	var best *routerDemand
	for i := range q.routers {
		s := &q.routers[i]
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
func (q *queueDemand) decrement(s *routerDemand) {
	s.waiting--
	q.waiting--
}

package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// routerDemand holds the demand in one queue at one router.
type routerDemand struct {
	router  fleet.Name
	waiting int
	oldest  time.Duration // arrival time of the oldest, on this machine's clock
	// suspended means that the router does not answer claims. Its waiting
	// requests are not counted until it answers again.
	suspended bool
}

// claimable returns the number of requests that may be claimed from the router.
func (d *routerDemand) claimable() int {
	if d.suspended {
		return 0
	}
	return d.waiting
}

// queueDemand holds the demand in one queue, that is, the waiting requests of
// one team and class for one work, by router.
type queueDemand struct {
	key     fleet.DemandKey
	routers []routerDemand // ordered by router name
	waiting int            // claimable requests at all routers
}

func (q *queueDemand) find(router fleet.Name) (int, bool) {
	return slices.BinarySearchFunc(q.routers, router, func(d routerDemand, n fleet.Name) int {
		return cmp.Compare(d.router, n)
	})
}

// set records the waiting count of one router and the arrival time of its
// oldest request.
func (q *queueDemand) set(router fleet.Name, waiting int, oldest time.Duration) {
	i, ok := q.find(router)
	if !ok {
		q.routers = slices.Insert(q.routers, i, routerDemand{router: router})
	}
	d := &q.routers[i]
	before := d.claimable()
	d.waiting = waiting
	d.oldest = oldest
	q.waiting += d.claimable() - before
}

// setSuspended excludes the requests at one router from the claimable count, or
// includes them again.
func (q *queueDemand) setSuspended(router fleet.Name, suspended bool) {
	i, ok := q.find(router)
	if !ok {
		return
	}
	d := &q.routers[i]
	before := d.claimable()
	d.suspended = suspended
	q.waiting += d.claimable() - before
}

// removeRouter removes one router and its requests from the count.
func (q *queueDemand) removeRouter(router fleet.Name) {
	i, ok := q.find(router)
	if !ok {
		return
	}
	q.waiting -= q.routers[i].claimable()
	q.routers = slices.Delete(q.routers, i, i+1)
}

// oldest returns the router with the longest-waiting claimable request, or nil.
func (q *queueDemand) oldest() *routerDemand {
	var best *routerDemand
	for i := range q.routers {
		d := &q.routers[i]
		if d.claimable() == 0 {
			continue
		}
		if best == nil || d.oldest < best.oldest {
			best = d
		}
	}
	return best
}

// decrement removes one claimed request from the count of its router, d, and of
// the queue.
func (q *queueDemand) decrement(d *routerDemand) {
	d.waiting--
	q.waiting--
}

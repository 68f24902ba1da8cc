package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// requestQueue is the waiting requests of one team and class for one work, oldest
// first. Requests that left out of turn stay as holes until they reach the
// front.
type requestQueue struct {
	key            fleet.DemandKey
	items          []*request
	waiting        int
	lastRemoved    time.Duration // when a request last left
	informedAgents int           // agents that believe in waiting requests
	rotation       int           // rotates over the agents that are told
	baseline       int           // the count when it was first told or last told to all
}

func (q *requestQueue) push(r *request) {
	q.items = append(q.items, r)
	q.waiting++
}

// pushFront puts back a request that has waited already.
func (q *requestQueue) pushFront(r *request) {
	q.trim()
	q.items = append([]*request{r}, q.items...)
	q.waiting++
}

// pop takes the oldest request, or nil.
func (q *requestQueue) pop() *request {
	q.trim()
	if len(q.items) == 0 {
		return nil
	}
	r := q.items[0]
	q.items[0] = nil
	q.items = q.items[1:]
	q.waiting--
	return r
}

// recordRemoval notes that a request of the line no longer waits.
func (q *requestQueue) recordRemoval() {
	q.waiting--
	q.trim()
}

// trim drops holes from the front.
func (q *requestQueue) trim() {
	for len(q.items) > 0 && q.items[0].state != stateWaiting {
		q.items[0] = nil
		q.items = q.items[1:]
	}
}

// count returns what the line comes to at a time.
func (q *requestQueue) count(now time.Duration) fleet.Count {
	c := fleet.Count{Key: q.key, Waiting: q.waiting}
	q.trim()
	if len(q.items) > 0 {
		c.OldestAge = now - q.items[0].arrived
	}
	return c
}

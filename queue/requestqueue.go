package queue

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// requestQueue holds the waiting requests of one team and class for one work,
// oldest first. Requests that were cancelled or expired stay in items until they
// reach the front.
type requestQueue struct {
	key            fleet.DemandKey
	items          []*request
	waiting        int
	lastRemoved    time.Duration // when a request last left the queue
	informedAgents int           // agents whose last sent count is not zero
	rotation       int           // rotates the choice of the agents to inform
	baseline       int           // count when first sent, or when last sent to all informed agents
}

func (q *requestQueue) push(r *request) {
	q.items = append(q.items, r)
	q.waiting++
}

// pushFront adds a request that has waited before to the front.
func (q *requestQueue) pushFront(r *request) {
	q.trim()
	q.items = append([]*request{r}, q.items...)
	q.waiting++
}

// pop removes and returns the oldest request, or returns nil.
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

// recordRemoval records that a request of the queue was cancelled or expired.
func (q *requestQueue) recordRemoval() {
	q.waiting--
	q.trim()
}

// trim removes requests that no longer wait from the front.
func (q *requestQueue) trim() {
	for len(q.items) > 0 && q.items[0].state != stateWaiting {
		q.items[0] = nil
		q.items = q.items[1:]
	}
}

// count returns the number of waiting requests and the age of the oldest at the
// time now.
func (q *requestQueue) count(now time.Duration) fleet.QueueCount {
	c := fleet.QueueCount{Key: q.key, Waiting: q.waiting}
	q.trim()
	if len(q.items) > 0 {
		c.OldestAge = now - q.items[0].arrived
	}
	return c
}

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

func (l *requestQueue) push(r *request) {
	l.items = append(l.items, r)
	l.waiting++
}

// pushFront puts back a request that has waited already.
func (l *requestQueue) pushFront(r *request) {
	l.trim()
	l.items = append([]*request{r}, l.items...)
	l.waiting++
}

// pop takes the oldest request, or nil.
func (l *requestQueue) pop() *request {
	l.trim()
	if len(l.items) == 0 {
		return nil
	}
	r := l.items[0]
	l.items[0] = nil
	l.items = l.items[1:]
	l.waiting--
	return r
}

// recordRemoval notes that a request of the line no longer waits.
func (l *requestQueue) recordRemoval() {
	l.waiting--
	l.trim()
}

// trim drops holes from the front.
func (l *requestQueue) trim() {
	for len(l.items) > 0 && l.items[0].state != stateWaiting {
		l.items[0] = nil
		l.items = l.items[1:]
	}
}

// count returns what the line comes to at a time.
func (l *requestQueue) count(now time.Duration) fleet.Count {
	c := fleet.Count{Key: l.key, Waiting: l.waiting}
	l.trim()
	if len(l.items) > 0 {
		c.OldestAge = now - l.items[0].arrived
	}
	return c
}

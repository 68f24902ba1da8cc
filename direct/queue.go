package direct

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWaitFraction is the fraction of its objective that a request may wait in the queue
	// before it is refused.
	maxWaitFraction = 0.2
	// maxQueued bounds the waiting requests of a service at one router.
	maxQueued = 64
)

// queue holds the requests of one service that wait for a server.
type queue struct {
	waiting []*requestState
}

// maxWait returns how long a request may wait in the queue.
func maxWait(r *requestState) time.Duration {
	return time.Duration(maxWaitFraction * float64(r.Objective))
}

// add appends a request.
func (q *queue) add(r *requestState) { q.waiting = append(q.waiting, r) }

// queuedTokens returns the token cost of a team's queued requests whose waiting time ends no
// later than the given time.
func (q *queue) queuedTokens(team string, until time.Duration) float64 {
	sum := 0.0
	for _, r := range q.waiting {
		if r.Team == team && r.waitUntil <= until {
			sum += r.cost()
		}
	}
	return sum
}

// remove removes a request.
func (q *queue) remove(r *requestState) {
	if i := slices.Index(q.waiting, r); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// sort orders the requests: first retries and resumed streams, then by higher priority, teams within
// their share, requests that are not late already, the team that is served least, and the earliest
// end of the waiting time.
func (q *queue) sort() {
	slices.SortStableFunc(q.waiting, func(a, b *requestState) int {
		return cmp.Or(
			compareBool(a.isFirstTry(), b.isFirstTry()),
			cmp.Compare(a.Priority, b.Priority),
			compareBool(a.shareRatio > 1, b.shareRatio > 1),
			compareBool(a.late, b.late),
			cmp.Compare(a.teamServedRate, b.teamServedRate),
			cmp.Compare(a.waitUntil, b.waitUntil),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// expired returns the requests whose waiting time is over.
func (q *queue) expired(now time.Duration) []*requestState {
	var out []*requestState
	for _, r := range q.waiting {
		if now >= r.waitUntil {
			out = append(out, r)
		}
	}
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

package direct

import (
	"cmp"
	"slices"
	"time"
)

const (
	// waitShare is the part of its objective that a request may wait in line
	// before it is refused.
	waitShare = 0.2
	// maxLine bounds the waiting requests of a service at one router.
	maxLine = 64
)

// line holds the requests of one service that wait for a server.
type line struct {
	waiting []*run
}

// waitTime is how long a request may wait in line.
func waitTime(r *run) time.Duration { return time.Duration(waitShare * float64(r.Objective)) }

// add puts a request in line.
func (l *line) add(r *run) { l.waiting = append(l.waiting, r) }

// asked returns the tokens that the requests of a team in line ask for which are
// served before one that may wait until a time.
func (l *line) asked(team string, until time.Duration) float64 {
	sum := 0.0
	for _, r := range l.waiting {
		if r.Team == team && r.waitUntil <= until {
			sum += r.cost()
		}
	}
	return sum
}

// remove takes a request out.
func (l *line) remove(r *run) {
	if i := slices.Index(l.waiting, r); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

// sort puts first who is served first: requests that were sent before, then
// higher priority, teams within their share, those that are not late already, the
// team that got least, the one that can wait least.
func (l *line) sort() {
	slices.SortStableFunc(l.waiting, func(a, b *run) int {
		return cmp.Or(
			-cmp.Compare(min(a.attempt, 1), min(b.attempt, 1)),
			cmp.Compare(a.Priority, b.Priority),
			compareBool(a.over > 1, b.over > 1),
			compareBool(a.late, b.late),
			cmp.Compare(a.served, b.served),
			cmp.Compare(a.waitUntil, b.waitUntil),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// expired returns the requests that have waited as long as they may.
func (l *line) expired(now time.Duration) []*run {
	var out []*run
	for _, r := range l.waiting {
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

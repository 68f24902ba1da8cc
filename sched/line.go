package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// source is how many requests of a line wait at one router.
type source struct {
	router  fleet.Name
	waiting int
	oldest  time.Duration // when the oldest came, on this machine's clock
	// suspended means that the router does not answer claims: what waits there
	// does not count until it does.
	suspended bool
}

// claimable returns how many requests may be claimed.
func (s *source) claimable() int {
	if s.suspended {
		return 0
	}
	return s.waiting
}

// line is one team's waiting requests of one class for one work, by router.
type line struct {
	key     fleet.DemandKey
	sources []source // by router
	waiting int      // that may be claimed
}

func (l *line) find(router fleet.Name) (int, bool) {
	return slices.BinarySearchFunc(l.sources, router, func(s source, n fleet.Name) int {
		return cmp.Compare(s.router, n)
	})
}

// set replaces what is known of one router.
func (l *line) set(router fleet.Name, waiting int, oldest time.Duration) {
	i, ok := l.find(router)
	if !ok {
		l.sources = slices.Insert(l.sources, i, source{router: router})
	}
	s := &l.sources[i]
	before := s.claimable()
	s.waiting = waiting
	s.oldest = oldest
	l.waiting += s.claimable() - before
}

// suspend says whether what waits at one router counts.
func (l *line) suspend(router fleet.Name, suspended bool) {
	i, ok := l.find(router)
	if !ok {
		return
	}
	s := &l.sources[i]
	before := s.claimable()
	s.suspended = suspended
	l.waiting += s.claimable() - before
}

// forget drops one router.
func (l *line) forget(router fleet.Name) {
	i, ok := l.find(router)
	if !ok {
		return
	}
	l.waiting -= l.sources[i].claimable()
	l.sources = slices.Delete(l.sources, i, i+1)
}

// oldest returns the source whose request has waited longest, or nil.
func (l *line) oldest() *source {
	var best *source
	for i := range l.sources {
		s := &l.sources[i]
		if s.claimable() == 0 {
			continue
		}
		if best == nil || s.oldest < best.oldest {
			best = s
		}
	}
	return best
}

// take counts one request less at a source.
func (l *line) take(s *source) {
	s.waiting--
	l.waiting--
}

package rollout

import (
	"slices"
	"time"
)

// service is what a router knows of the versions of one service.
type service struct {
	name  string
	order *Order // that is in the store; nil: none
	// gone are the marks of orders that were deleted or followed by another: they come
	// up again only in news that are late.
	gone []string
	// again: the order was deleted once and is seen again.
	again bool
	// ended is the key of the order whose final status is known; 0: none.
	ended    uint64
	inUse    []string
	rejected []string
	record   Record // Revision 0: none in the store
	versions []string
	roll     *roll
	writer   writer
	inForce  Gate
	gated    bool // inForce has been told
	told     []string
}

// mostRemembered bounds lists of versions and orders that are over, which are kept for
// news that come late: minutes at the most.
const mostRemembered = 16

func remember(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	list = append(slices.Clone(list), s)
	return list[max(0, len(list)-mostRemembered):]
}

func without(list []string, s string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(x string) bool { return x == s })
}

func (s *service) uses(version string) bool { return slices.Contains(s.inUse, version) }

// takeOrder takes an order as the store holds it, unless it is older than what is known.
func (s *service) takeOrder(o Order) (taken bool) {
	if s.order != nil && o.Made == s.order.Made {
		if o.Revision < s.order.Revision {
			return false
		}
		s.keep(o)
		return true
	}
	late := slices.Contains(s.gone, o.Made)
	if late && s.order != nil {
		return false
	}
	if s.order != nil {
		s.gone = remember(s.gone, s.order.Made)
	}
	s.again = late
	s.keep(o)
	return true
}

func (s *service) keep(o Order) {
	if s.order == nil || o.Revision > s.order.Revision || o.Made != s.order.Made {
		s.writer.shown()
	}
	if s.ended != o.Key() {
		s.ended = 0
	}
	s.order = &o
}

// dropOrder notes that the store holds no order any more.
func (s *service) dropOrder() {
	s.gone = remember(s.gone, s.order.Made)
	s.order = nil
	s.ended = 0
	s.again = false
	s.writer.shown()
}

// takeRecord takes a record, unless it is older than what is known.
func (s *service) takeRecord(r Record) {
	if r.Revision <= s.record.Revision {
		return
	}
	s.record = r
	s.writer.shown()
	if len(r.InUse) == 0 {
		return
	}
	s.inUse = slices.Clone(r.InUse)
	s.rejected = slices.Clone(r.Rejected)
}

// apply notes how an order for a version ended.
func (s *service) apply(target string, state State) {
	if state == Completed {
		s.inUse = []string{target}
		s.rejected = without(s.rejected, target)
		return
	}
	s.reject(target)
}

// reject takes a version out of use, unless nothing else is in use.
func (s *service) reject(target string) {
	if rest := without(s.inUse, target); len(rest) > 0 {
		s.inUse = rest
	}
	if !s.uses(target) && target != "" {
		s.rejected = remember(s.rejected, target)
	}
}

// firstVersions are those of a service's first list of servers, but for one that is only
// on its way to be used, and for those that were rejected.
func (s *service) firstVersions() []string {
	first := s.versions
	leaveOut := func(version string) {
		if rest := without(first, version); len(rest) > 0 {
			first = rest
		}
	}
	if s.order != nil {
		leaveOut(s.order.Target)
	}
	for _, version := range s.rejected {
		leaveOut(version)
	}
	if len(first) == 0 {
		return nil
	}
	return slices.Clone(first)
}

// wanted is the record as it should be.
func (s *service) wanted(wall time.Time) Record {
	w := Record{
		Service:  s.name,
		Revision: s.record.Revision,
		InUse:    slices.Clone(s.inUse),
		Rejected: slices.Clone(s.rejected),
		Wall:     wall,
	}
	if s.roll != nil {
		w.Target, w.Made = s.roll.order.Target, s.roll.order.Made
		w.Stage, w.Age = s.roll.stage, s.roll.age
	}
	return w
}

// recordStands tells whether the record says what it should.
func (s *service) recordStands(w Record) bool {
	r := s.record
	return slices.Equal(r.InUse, w.InUse) && slices.Equal(r.Rejected, w.Rejected) &&
		r.Target == w.Target && r.Made == w.Made
}

// leftOver is the target of a roll-out that the record has under way and the store has
// no order for any more.
func (s *service) leftOver() string {
	r := s.record
	if r.Target == "" || s.uses(r.Target) {
		return ""
	}
	if s.order != nil && s.order.Target == r.Target && s.order.Made == r.Made {
		return ""
	}
	return r.Target
}

// endOf tells how a roll-out ended of which only the record is left. Old servers stop
// when it is completed: where only those of its target are listed it was, and to reject
// the target would leave nobody to serve.
func (s *service) endOf(target string) State {
	listed := func(version string) bool { return slices.Contains(s.versions, version) }
	if listed(target) && !slices.ContainsFunc(s.inUse, listed) {
		return Completed
	}
	return RolledBack
}

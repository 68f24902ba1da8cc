package rollout

import (
	"slices"
	"time"
)

// service is what a router knows of the versions of one service.
type service struct {
	name  string
	order *Order // in the store; nil: none
	// endedMarks are the marks (Order.Made) of orders that were deleted or replaced. Such an
	// order shows up again only in messages that come late.
	endedOrders []string
	// reappeared says that the order was deleted and is then seen again.
	reappeared bool
	// ended is the key of the order whose final status is known; 0: none.
	endedKey    uint64
	inUse       []string // see Gate; nil: not known
	rejected    []string // versions that were rolled back
	record      Record   // Revision 0: none in the store
	versions    []string // of the listed servers
	rollout     *rollout // nil: no roll-out is under way
	writer      writer
	appliedGate Gate
	gateSent    bool // a GateCmd was emitted for inForce
	// unorderedLogged are the versions of which it was logged that nobody ordered them.
	unorderedLogged []string
}

// mostRemembered bounds the lists of rejected versions, of ended orders and of unordered
// versions. The first two matter only to messages that come late, by minutes at the most,
// and a service gets far fewer orders in that time.
const maxRemembered = 16

func appendBounded(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	list = append(slices.Clone(list), s)
	return list[max(0, len(list)-maxRemembered):]
}

func without(list []string, s string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(x string) bool { return x == s })
}

func (s *service) uses(version string) bool { return slices.Contains(s.inUse, version) }

// takeOrder takes an order as the store holds it, unless it is older than what is known.
func (s *service) updateOrder(o Order) {
	if s.order != nil && o.Made == s.order.Made {
		if o.Revision >= s.order.Revision {
			s.setOrder(o)
		}
		return
	}
	late := slices.Contains(s.endedOrders, o.Made)
	if late && s.order != nil {
		return
	}
	if s.order != nil {
		s.endedOrders = appendBounded(s.endedOrders, s.order.Made)
	}
	s.reappeared = late
	s.setOrder(o)
}

func (s *service) setOrder(o Order) {
	if s.order == nil || o.Revision > s.order.Revision || o.Made != s.order.Made {
		s.writer.objectChanged()
	}
	if s.endedKey != o.Key() {
		s.endedKey = 0
	}
	s.order = &o
}

// dropOrder notes that the store holds no order any more.
func (s *service) removeOrder() {
	s.endedOrders = appendBounded(s.endedOrders, s.order.Made)
	s.order = nil
	s.endedKey = 0
	s.reappeared = false
	s.writer.objectChanged()
}

// takeRecord takes a record, unless it is older than what is known.
func (s *service) updateRecord(r Record) {
	if r.Revision <= s.record.Revision {
		return
	}
	s.record = r
	s.writer.objectChanged()
	if len(r.InUse) == 0 {
		return
	}
	s.inUse = slices.Clone(r.InUse)
	s.rejected = slices.Clone(r.Rejected)
}

// apply notes how an order for a version ended.
func (s *service) applyFinalState(target string, state State) {
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
		s.rejected = appendBounded(s.rejected, target)
	}
}

// firstVersions returns the versions in use of a service without a record: those of its
// first list of servers, except the target of its order and versions that were rejected,
// unless no others are left.
func (s *service) initialVersions() []string {
	initial := s.versions
	exclude := func(version string) {
		if rest := without(initial, version); len(rest) > 0 {
			initial = rest
		}
	}
	if s.order != nil {
		exclude(s.order.Target)
	}
	for _, version := range s.rejected {
		exclude(version)
	}
	if len(initial) == 0 {
		return nil
	}
	return slices.Clone(initial)
}

// wanted returns the record as the store should hold it.
func (s *service) desiredRecord(wall time.Time) Record {
	w := Record{
		Service:  s.name,
		Revision: s.record.Revision,
		InUse:    slices.Clone(s.inUse),
		Rejected: slices.Clone(s.rejected),
		Wall:     wall,
	}
	if s.rollout != nil {
		w.Target, w.Made = s.rollout.order.Target, s.rollout.order.Made
		w.Stage, w.Age = s.rollout.stage, s.rollout.age
	}
	return w
}

// recordCurrent tells whether the record in the store need not be written again. Stage and
// age alone are not worth a write.
func (s *service) recordCurrent(w Record) bool {
	r := s.record
	return slices.Equal(r.InUse, w.InUse) && slices.Equal(r.Rejected, w.Rejected) &&
		r.Target == w.Target && r.Made == w.Made
}

// orphanedTarget returns the target of the roll-out that the record has under way, where
// the store holds no order for it any more; empty: there is none.
func (s *service) orphanedTarget() string {
	r := s.record
	if r.Target == "" || s.uses(r.Target) {
		return ""
	}
	if s.order != nil && s.order.Target == r.Target && s.order.Made == r.Made {
		return ""
	}
	return r.Target
}

// orphanState tells how a roll-out ended of which only the record is left. Old servers stop
// when a roll-out is completed. So where servers of the target are listed and none of the
// versions in use, it was completed, and rejecting the target would leave no server.
func (s *service) orphanState(target string) State {
	if s.hasServers(target) && !slices.ContainsFunc(s.inUse, s.hasServers) {
		return Completed
	}
	return RolledBack
}

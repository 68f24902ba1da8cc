package rollout

import (
	"slices"
	"time"
)

// service holds one router's view of the versions of a service.
type service struct {
	name  string
	order *Order // order in the store; nil: none
	// endedOrders holds the Order.Made of orders that were deleted or replaced. Such an order
	// can reappear only in delayed messages.
	endedOrders []string
	// reappeared is set if the order was deleted and then received again.
	reappeared bool
	// endedKey is the key of the order whose final status has been applied; 0: none.
	endedKey    uint64
	inUse       []string // see Gate; nil: unknown
	rejected    []string // versions that were rolled back
	record      Record   // Revision is 0 if the store holds none
	versions    []string // versions of the listed servers
	rollout     *rollout // nil: no rollout is running
	writer      writer
	appliedGate Gate
	gateSent    bool // a GateCmd was emitted for appliedGate
	// unorderedLogged holds the versions already logged as never ordered.
	unorderedLogged []string
}

// maxRemembered is the maximum length of the lists of rejected versions, of ended orders and of
// unordered versions. The first two matter only for messages that are delayed, by minutes at
// most, and a service gets far fewer orders in that time.
const maxRemembered = 16

// appendBounded appends s unless the list contains it, and keeps the last maxRemembered entries.
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

// updateOrder applies an order from the store, unless it is older than the current one.
func (s *service) updateOrder(o Order) {
	if s.order != nil && o.Made == s.order.Made {
		if o.Revision >= s.order.Revision {
			s.setOrder(o)
		}
		return
	}
	ended := slices.Contains(s.endedOrders, o.Made)
	if ended && s.order != nil {
		return
	}
	if s.order != nil {
		s.endedOrders = appendBounded(s.endedOrders, s.order.Made)
	}
	s.reappeared = ended
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

// removeOrder records that the store no longer holds an order.
func (s *service) removeOrder() {
	s.endedOrders = appendBounded(s.endedOrders, s.order.Made)
	s.order = nil
	s.endedKey = 0
	s.reappeared = false
	s.writer.objectChanged()
}

// updateRecord applies a record from the store, unless it is older than the current one.
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

// applyFinalState updates the versions in use and rejected by how the order for target ended.
func (s *service) applyFinalState(target string, state State) {
	if state == Completed {
		s.inUse = []string{target}
		s.rejected = without(s.rejected, target)
		return
	}
	s.reject(target)
}

// reject removes a version from those in use and adds it to the rejected ones, unless it is the
// only one in use.
func (s *service) reject(target string) {
	if rest := without(s.inUse, target); len(rest) > 0 {
		s.inUse = rest
	}
	if !s.uses(target) && target != "" {
		s.rejected = appendBounded(s.rejected, target)
	}
}

// initialVersions returns the versions in use of a service without a record: those in its
// first server list, without the target of its order and without rejected versions, unless
// no others are left.
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

// desiredRecord returns the record that the store should hold.
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

// recordCurrent reports whether the stored record is up to date. A change of stage or age
// alone does not justify a write.
func (s *service) recordCurrent(w Record) bool {
	r := s.record
	return slices.Equal(r.InUse, w.InUse) && slices.Equal(r.Rejected, w.Rejected) &&
		r.Target == w.Target && r.Made == w.Made
}

// orphanedTarget returns the target of the rollout in the record if the store no longer holds
// an order for it; empty otherwise.
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

// orphanState returns the final state of a rollout that is left only in the record. Old servers
// stop once a rollout is completed. So if servers of the target are listed, and none of the
// versions in use, it was completed, and rejecting the target would leave no server.
func (s *service) orphanState(target string) State {
	if s.hasServers(target) && !slices.ContainsFunc(s.inUse, s.hasServers) {
		return Completed
	}
	return RolledBack
}

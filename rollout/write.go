package rollout

import "time"

// write emits the write that is due, one at a time for each service. A final status comes
// first. The record of a roll-out is written before the status InProgress, since only the
// record tells a router that starts how old the order is.
func (m *Machine) write(s *service, now time.Duration, wall time.Time) {
	if !s.writer.ready(now) {
		return
	}
	if state := s.finalDue(); state.Final() {
		m.writeStatus(s, state, now)
		return
	}
	if want := s.wanted(wall); len(want.InUse) > 0 && !s.recordCurrent(want) {
		c := WriteCmd{Kind: WriteRecord, Service: s.name, Record: want}
		m.cmds = append(m.cmds, s.writer.send(c, s.key(), now))
		return
	}
	if s.rollout != nil && s.order.status() == Ordered && s.order.Target != "" {
		m.writeStatus(s, InProgress, now)
	}
}

func (m *Machine) writeStatus(s *service, state State, now time.Duration) {
	status := Status{State: state, Target: s.order.Target, Revision: s.order.Revision}
	c := WriteCmd{Kind: WriteStatus, Service: s.name, Status: status}
	m.cmds = append(m.cmds, s.writer.send(c, s.key(), now))
}

// finalDue returns the final status that is to be written now; Ordered: none.
func (s *service) finalDue() State {
	r := s.rollout
	if r == nil || r.order.Target == "" {
		return Ordered
	}
	if r.rejected {
		return RolledBack
	}
	if r.confirmed && !r.stopped() && r.everywhere() {
		return Completed
	}
	return Ordered
}

// key is that of the service's order; 0: it has none.
func (s *service) key() uint64 {
	if s.order == nil {
		return 0
	}
	return s.order.Key()
}

// written takes in the end of a write. The object as it is now may have come before; where
// it has not, the content of the write is taken for it until it comes.
func (m *Machine) written(msg WriteDoneMsg) {
	s := m.services[msg.Service]
	if s == nil {
		return
	}
	out := s.writer.ended(msg)
	if out == nil || msg.Result != Written {
		return
	}
	if out.Kind == WriteRecord {
		s.recordWritten(out.Record)
		return
	}
	if s.order != nil && s.writer.key == s.order.Key() && s.order.Revision == out.Status.Revision {
		s.order.State, s.order.StateTarget = out.Status.State, out.Status.Target
	}
}

func (s *service) recordWritten(r Record) {
	if s.record.Revision == r.Revision {
		s.record = r
	}
}

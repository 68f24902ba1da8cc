package rollout

import "time"

// write emits the write that is due, one at a time for each service. A final status comes
// first. The record of a rollout is written before the status InProgress, since a router that
// starts without peers can get the order's age only from the record.
func (m *Machine) write(s *service, now time.Duration, wall time.Time) {
	if !s.writer.ready(now) {
		return
	}
	if state := s.dueFinalState(); state.Final() {
		m.writeStatus(s, state, now)
		return
	}
	if desired := s.desiredRecord(wall); len(desired.InUse) > 0 && !s.recordCurrent(desired) {
		c := WriteCmd{Kind: WriteRecord, Service: s.name, Record: desired}
		m.cmds = append(m.cmds, s.writer.send(c, s.orderKey(), now))
		return
	}
	if s.rollout != nil && s.order.status() == Ordered && s.order.Target != "" {
		m.writeStatus(s, InProgress, now)
	}
}

func (m *Machine) writeStatus(s *service, state State, now time.Duration) {
	status := Status{State: state, Target: s.order.Target, Revision: s.order.Revision}
	c := WriteCmd{Kind: WriteStatus, Service: s.name, Status: status}
	m.cmds = append(m.cmds, s.writer.send(c, s.orderKey(), now))
}

// dueFinalState returns the final status to write now; Ordered: none.
func (s *service) dueFinalState() State {
	r := s.rollout
	if r == nil || r.order.Target == "" {
		return Ordered
	}
	if r.rejected {
		return RolledBack
	}
	if r.confirmed && !r.stopped() && r.allInLastStage() {
		return Completed
	}
	return Ordered
}

// orderKey returns the key of the service's order; 0: no order.
func (s *service) orderKey() uint64 {
	if s.order == nil {
		return 0
	}
	return s.order.Key()
}

// finishWrite processes the result of a write. If the object's new state has not arrived
// before it, the written content is used until it does.
func (m *Machine) finishWrite(msg WriteDoneMsg) {
	s := m.services[msg.Service]
	if s == nil {
		return
	}
	cmd := s.writer.finish(msg)
	if cmd == nil || msg.Result != Written {
		return
	}
	if cmd.Kind == WriteRecord {
		s.recordWritten(cmd.Record)
		return
	}
	if s.order != nil && s.writer.orderKey == s.order.Key() && s.order.Revision == cmd.Status.Revision {
		s.order.State, s.order.StateTarget = cmd.Status.State, cmd.Status.Target
	}
}

// recordWritten uses a written record until the store delivers it with its new revision.
func (s *service) recordWritten(r Record) {
	if s.record.Revision == r.Revision {
		s.record = r
	}
}

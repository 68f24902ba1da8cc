package rollout

import "time"

// write emits the write that is due, one at a time for each service. A final status comes
// first. The record of a roll-out is written before the status InProgress, since only the
// record tells a router that starts how old the order is.
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

// key is that of the service's order; 0: it has none.
func (s *service) key() uint64 {
	if s.order == nil {
		return 0
	}
	return s.order.Key()
}

// written takes in the end of a write. The object as it is now may have come before; where
// it has not, the content of the write is taken for it until it comes.
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
	if s.order != nil && s.writer.key == s.order.Key() && s.order.Revision == cmd.Status.Revision {
		s.order.State, s.order.StateTarget = cmd.Status.State, cmd.Status.Target
	}
}

func (s *service) recordWritten(r Record) {
	if s.record.Revision == r.Revision {
		s.record = r
	}
}

package rollout

import (
	"maps"
	"slices"
	"time"
)

// Machine decides on the rollouts of all services, in one router.
type Machine struct {
	bounds         Bounds
	services       map[string]*service
	ordersLoaded   bool // the orders have been read from the store
	recordsLoaded  bool // the records have been read from the store
	versionsLoaded bool // a server list has been received
	leads          bool
	routers        int       // routers alive, including this one
	wall           time.Time // time of day at the last TickMsg or RecordsMsg
	cmds           []Cmd     // emitted by the current Update
}

// NewMachine returns a machine without any state.
func NewMachine(bounds Bounds) *Machine {
	return &Machine{bounds: bounds, services: map[string]*service{}, routers: 1}
}

// Update processes a message and returns the commands to execute.
func (m *Machine) Update(msg Msg) []Cmd {
	if !m.bounds.Enabled() {
		return nil
	}
	m.cmds = nil
	switch msg := msg.(type) {
	case OrdersMsg:
		m.updateOrders(msg)
		m.reconcile(msg.Now)
	case RecordsMsg:
		m.updateRecords(msg)
		m.reconcile(msg.Now)
	case VersionsMsg:
		m.updateVersions(msg)
		m.reconcile(msg.Now)
	case ResponseMsg:
		m.countResponse(msg)
	case PeerReportsMsg:
		m.updatePeers(msg)
	case WriteDoneMsg:
		m.finishWrite(msg)
		m.reconcile(msg.Now)
	case TickMsg:
		m.tick(msg)
	}
	return append(m.changedGates(), m.cmds...)
}

// Reports returns this router's reports to its peers on the running rollouts, sorted by service.
func (m *Machine) Reports() []Report {
	var reports []Report
	for _, s := range m.sortedServices() {
		if s.rollout != nil {
			reports = append(reports, s.rollout.report())
		}
	}
	return reports
}

func (m *Machine) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{name: name}
		m.services[name] = s
	}
	return s
}

// sortedServices returns the services by name: the order of commands must be deterministic.
func (m *Machine) sortedServices() []*service {
	var list []*service
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		list = append(list, m.services[name])
	}
	return list
}

func (m *Machine) updateOrders(msg OrdersMsg) {
	m.ordersLoaded = true
	seen := map[string]bool{}
	for _, o := range msg.Orders {
		seen[o.Service] = true
		m.service(o.Service).updateOrder(o)
	}
	for _, s := range m.sortedServices() {
		if s.order != nil && !seen[s.name] {
			s.removeOrder()
		}
	}
}

func (m *Machine) updateRecords(msg RecordsMsg) {
	m.recordsLoaded = true
	m.wall = msg.Wall
	seen := map[string]bool{}
	for _, r := range msg.Records {
		seen[r.Service] = true
		m.service(r.Service).updateRecord(r)
	}
	for _, s := range m.sortedServices() {
		if !seen[s.name] {
			s.record = Record{}
		}
	}
}

func (m *Machine) updateVersions(msg VersionsMsg) {
	m.versionsLoaded = true
	for name, versions := range msg.Services {
		m.service(name).versions = slices.Clone(versions)
	}
	for _, s := range m.services {
		if _, listed := msg.Services[s.name]; !listed {
			s.versions = nil
		}
	}
}

// countResponse adds one response to this router's own evidence.
func (m *Machine) countResponse(msg ResponseMsg) {
	s := m.services[msg.Service]
	if s == nil || s.rollout == nil {
		return
	}
	t := Tally{Good: 1}
	if msg.Bad {
		t = Tally{Bad: 1}
	}
	s.rollout.own.count(cellKey{msg.Route, msg.Cohort, msg.Target, msg.AfterStart}, t)
}

// updatePeers merges the reports of the other routers.
func (m *Machine) updatePeers(msg PeerReportsMsg) {
	for _, s := range m.sortedServices() {
		if s.rollout == nil {
			continue
		}
		merged := Report{}
		for _, r := range msg.Reports {
			if r.Service == s.name && r.Order == s.rollout.orderKey {
				merged = Merge(merged, r)
			}
		}
		s.rollout.updatePeers(merged, msg.Now)
		m.followPeers(s)
		if s.rollout.peersReportMoreBad() {
			m.evaluate(s, msg.Now)
		}
	}
}

// followPeers applies a rejection or a higher stage that peers report.
func (m *Machine) followPeers(s *service) {
	r := s.rollout
	if r.peers.Routers == 0 {
		return
	}
	if r.peers.Rejected {
		m.reject(s, causeLeader)
	}
	if r.peers.MaxStage > r.stage {
		m.raiseStage(s, r.peers.MaxStage, causePeers)
	}
}

// raiseStage raises the stage of a rollout and reports the step.
func (m *Machine) raiseStage(s *service, stage Stage, cause string) {
	s.rollout.stage = stage
	s.rollout.raisedAtAge = s.rollout.age
	m.emitStep(s, StepRaised, cause)
}

// changedGates returns a command for each gate that has changed. They precede other commands,
// so that a gate is applied here before a write announces it.
func (m *Machine) changedGates() []Cmd {
	var changed []Cmd
	for _, s := range m.sortedServices() {
		g := s.gate(m.bounds.Share)
		if s.gateSent && (gatesEqual(g, s.appliedGate) || s.awaitsServerList(g)) || !s.gateSent && s.inUse == nil {
			continue
		}
		s.appliedGate, s.gateSent = g, true
		g.InUse = slices.Clone(g.InUse)
		changed = append(changed, GateCmd{g})
	}
	return changed
}

// emitStep emits a StepCmd, which logs a step of the service's rollout.
func (m *Machine) emitStep(s *service, step, cause string) {
	c := StepCmd{Service: s.name, Step: step, Cause: cause, Leads: m.leads, Routers: 1}
	if s.order != nil {
		c.Target = s.order.Target
	}
	if r := s.rollout; r != nil {
		c.Target = r.order.Target
		c.Stage, c.Age, c.Within = r.stage, r.age, r.order.Within
		c.Routers = r.routerCount()
		c.New, c.Old = r.all.total(true), r.all.total(false)
	}
	m.cmds = append(m.cmds, c)
}

package rollout

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

const (
	simService = "s"
	oldVersion = "v1"
	newVersion = "v2"
)

// simStore is a store with conditional writes, that may be down, lose answers or do
// writes late.
type simStore struct {
	revision uint64
	order    *Order
	record   *Record
	down     bool
	lossy    bool // does the write, the answer is lost
	slow     bool // does the write later, if its condition still holds
	late     []WriteCmd
	finals   map[string]State // by mark and target of the order
	fault    string
}

func (s *simStore) write(c WriteCmd) WriteResult {
	switch {
	case s.down:
		return Refused
	case s.slow:
		s.late = append(s.late, c)
		return Unknown
	}
	result := s.do(c)
	if s.lossy {
		return Unknown
	}
	return result
}

func (s *simStore) do(c WriteCmd) WriteResult {
	if c.Kind == WriteRecord {
		return s.doRecord(c.Record)
	}
	return s.doStatus(c.Status)
}

func (s *simStore) doRecord(r Record) WriteResult {
	held := uint64(0)
	if s.record != nil {
		held = s.record.Revision
	}
	if r.Revision != held {
		return Conflict
	}
	s.revision++
	r.Revision = s.revision
	s.record = &r
	return Written
}

func (s *simStore) doStatus(st Status) WriteResult {
	if s.order == nil || s.order.Revision != st.Revision {
		return Conflict
	}
	id := s.order.Made + "/" + s.order.Target
	if final := s.finals[id]; final.Final() {
		s.fault = fmt.Sprintf("%s written on %s, which was %s", st.State, id, final)
	}
	if st.Target != s.order.Target {
		s.fault = fmt.Sprintf("status of %s written on an order for %s", st.Target, s.order.Target)
	}
	s.finals[id] = st.State
	s.revision++
	o := *s.order
	o.Revision, o.State, o.StateTarget = s.revision, st.State, st.Target
	s.order = &o
	return Written
}

func (s *simStore) doLate() {
	late := s.late
	s.late = nil
	for _, c := range late {
		s.do(c)
	}
}

func (s *simStore) put(target, made string, within time.Duration) {
	s.revision++
	o := Order{Service: simService, Target: target, Within: within, Made: made, Revision: s.revision}
	if s.order != nil && s.order.Made == made {
		o.State, o.StateTarget = s.order.State, s.order.StateTarget
	}
	if o.StateTarget != target {
		delete(s.finals, made+"/"+target) // what was put before is another order
	}
	s.order = &o
}

// simRouter is a router: a machine and what it has in force.
type simRouter struct {
	machine *Machine
	started time.Duration
	paused  bool
	cut     bool
	leads   bool // although it is not the first
	gate    Gate
	stage   Stage
	key     uint64
	heard   []Report
	steps   []StepCmd
}

// sim is a fleet with its store and its servers.
type sim struct {
	now      time.Duration
	wall     time.Duration // how far the wall clock is off
	orderAt  time.Duration
	store    *simStore
	routers  []*simRouter
	versions []string
	badRate  map[string]float64
	// load is in requests a second, of all routers.
	load float64
	// oldEnds: what runs at old servers ends once nothing is sent there.
	oldEnds bool
	mute    string         // a version whose servers never answer
	sent    map[string]int // requests, by version
	bads    map[string]int // bad answers, by version
	rng     *rand.Rand
	fault   string
	ticks   int
}

func newSim(routers int, seed int64) *sim {
	s := &sim{
		store:    &simStore{finals: map[string]State{}},
		versions: []string{oldVersion},
		badRate:  map[string]float64{},
		sent:     map[string]int{},
		bads:     map[string]int{},
		load:     500,
		oldEnds:  true,
		rng:      rand.New(rand.NewSource(seed)),
	}
	for range routers {
		s.routers = append(s.routers, s.fresh())
	}
	return s
}

func (s *sim) fresh() *simRouter {
	return &simRouter{
		machine: NewMachine(Bounds{Share: 0.1, Slack: 50}),
		started: s.now,
	}
}

// restartAll starts all routers anew: what they knew is lost.
func (s *sim) restartAll() {
	for i := range s.routers {
		s.routers[i] = s.fresh()
	}
}

func (s *sim) order(target, made string, within time.Duration) {
	if !slices.Contains(s.versions, target) {
		s.versions = append(s.versions, target)
	}
	s.orderAt = s.now
	s.store.put(target, made, within)
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end && s.fault == ""; {
		s.tick()
	}
}

func (s *sim) tick() {
	s.now += TickInterval
	s.ticks++
	for i, r := range s.routers {
		if !r.paused {
			s.tickRouter(i, r)
		}
	}
	if s.store.fault != "" {
		s.fault = s.store.fault
	}
}

func (s *sim) wallTime() time.Time { return time.Unix(1e9, 0).Add(s.now + s.wall) }

func (s *sim) tickRouter(i int, r *simRouter) {
	now := s.now - r.started
	s.send(r, VersionsMsg{Now: now, Services: map[string][]string{simService: s.versions}})
	if !s.store.down {
		s.show(r)
	}
	s.answers(r, now)
	s.others(r, now)
	running := 0
	if !r.gate.OldClosed || !s.oldEnds {
		running = 3
	}
	s.send(r, TickMsg{
		Now:        now,
		Wall:       s.wallTime(),
		Leads:      r.leads || i == s.first(),
		Routers:    1 + len(s.peers(r)),
		OldRunning: map[string]int{simService: running},
	})
	s.checkStage(r)
}

func (s *sim) first() int {
	return slices.IndexFunc(s.routers, func(r *simRouter) bool { return !r.paused && !r.cut })
}

func (s *sim) peers(r *simRouter) []*simRouter {
	var peers []*simRouter
	for _, o := range s.routers {
		if o != r && !o.paused && !o.cut && !r.cut {
			peers = append(peers, o)
		}
	}
	return peers
}

func (s *sim) show(r *simRouter) {
	now := s.now - r.started
	var orders []Order
	if s.store.order != nil {
		orders = append(orders, *s.store.order)
	}
	var records []Record
	if s.store.record != nil {
		records = append(records, *s.store.record)
	}
	s.send(r, OrdersMsg{Now: now, Orders: orders})
	s.send(r, RecordsMsg{Now: now, Wall: s.wallTime(), Records: records})
}

func (s *sim) others(r *simRouter, now time.Duration) {
	merged := Report{}
	r.heard = nil
	for _, o := range s.peers(r) {
		for _, report := range o.machine.Reports() {
			merged = Merge(merged, report)
			r.heard = append(r.heard, report)
		}
	}
	var reports []Report
	if merged.Routers > 0 {
		reports = append(reports, merged)
	}
	s.send(r, PeerReportsMsg{Now: now, Reports: reports})
}

func (s *sim) answers(r *simRouter, now time.Duration) {
	if r.gate.InUse == nil || r.gate.Target == "" {
		return
	}
	each := s.load / float64(len(s.routers)) * TickInterval.Seconds()
	s.answer(r, now, each*r.gate.Fraction, r.gate.Target, true)
	if !r.gate.OldClosed {
		s.answer(r, now, each*(1-r.gate.Fraction), r.gate.InUse[0], false)
	}
}

func (s *sim) answer(r *simRouter, now time.Duration, mean float64, version string, target bool) {
	n := int(mean)
	if s.rng.Float64() < mean-float64(n) {
		n++
	}
	if version == s.mute || target && !slices.Contains(s.versions, version) {
		return
	}
	for range n {
		bad := s.rng.Float64() < 0.01+s.badRate[version]
		s.sent[version]++
		if bad {
			s.bads[version]++
		}
		s.send(r, ResponseMsg{
			Now:     now,
			Service: simService,
			Route:   string(rune('a' + s.rng.Intn(3))),
			Cohort:  string(rune('x' + s.rng.Intn(3))),
			Target:  target,
			Bad:     bad,
		})
	}
}

func (s *sim) send(r *simRouter, msg Msg) {
	for _, c := range r.machine.Update(msg) {
		switch c := c.(type) {
		case GateCmd:
			r.gate = c.Gate
			s.checkGate(r)
		case StepCmd:
			r.steps = append(r.steps, c)
		case WriteCmd:
			s.write(r, c)
		}
	}
}

func (s *sim) write(r *simRouter, c WriteCmd) {
	s.checkWrite(r, c)
	result := s.store.write(c)
	if !s.store.down && !s.store.lossy && !s.store.slow {
		s.show(r)
	}
	s.send(r, WriteDoneMsg{Now: s.now - r.started, Service: c.Service, Kind: c.Kind, Result: result})
}

func (s *sim) checkWrite(r *simRouter, c WriteCmd) {
	if c.Kind != WriteStatus || c.Status.State != Completed {
		return
	}
	for _, report := range append(r.heard, r.machine.Reports()...) {
		if report.MinAppliedStage < All && report.Order == r.machine.services[simService].order.Key() {
			s.fault = "completed is written while a router that is heard has not the last stage in force"
		}
	}
}

func (s *sim) checkStage(r *simRouter) {
	for _, report := range r.machine.Reports() {
		if report.Order == r.key && report.MaxStage < r.stage {
			s.fault = "a stage fell"
		}
		r.key, r.stage = report.Order, report.MaxStage
	}
}

// checkGate finds versions that were never ordered, and targets that were rolled back.
func (s *sim) checkGate(r *simRouter) {
	sent := slices.Clone(r.gate.InUse)
	if r.gate.Fraction > 0 {
		sent = append(sent, r.gate.Target)
	}
	if slices.Contains(sent, "never") {
		s.fault = "a version that nobody ordered gets requests"
	}
	o := r.machine.services[simService].order
	if o != nil && o.status() == RolledBack && slices.Contains(sent, o.Target) && o.Target != oldVersion {
		s.fault = "a version that was rolled back gets requests"
	}
}

func (s *sim) status() State {
	if s.store.order == nil {
		return Ordered
	}
	return s.store.order.status()
}

// begun returns a fleet that has been at work for a while and then got an order.
func begun(seed int64, bad float64, within time.Duration) *sim {
	s := newSim(3, seed)
	s.run(time.Second)
	s.badRate[newVersion] = bad
	s.order(newVersion, "m1", within)
	return s
}

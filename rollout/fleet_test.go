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

// simStore is a store with conditional writes that may be down, lose replies or delay
// writes.
type simStore struct {
	revision     uint64
	order        *Order
	record       *Record
	down         bool
	losesReplies bool // executes writes, but their replies are lost
	delaysWrites bool // executes writes later, if their condition still holds
	delayed      []WriteCmd
	lastStates   map[string]State // last status written, by Made and Target of the order
	fault        string
}

func (s *simStore) write(c WriteCmd) WriteResult {
	switch {
	case s.down:
		return Refused
	case s.delaysWrites:
		s.delayed = append(s.delayed, c)
		return Unknown
	}
	result := s.apply(c)
	if s.losesReplies {
		return Unknown
	}
	return result
}

func (s *simStore) apply(c WriteCmd) WriteResult {
	if c.Kind == WriteRecord {
		return s.applyRecord(c.Record)
	}
	return s.applyStatus(c.Status)
}

func (s *simStore) applyRecord(r Record) WriteResult {
	revision := uint64(0)
	if s.record != nil {
		revision = s.record.Revision
	}
	if r.Revision != revision {
		return Conflict
	}
	s.revision++
	r.Revision = s.revision
	s.record = &r
	return Written
}

func (s *simStore) applyStatus(st Status) WriteResult {
	if s.order == nil || s.order.Revision != st.Revision {
		return Conflict
	}
	id := s.order.Made + "/" + s.order.Target
	if final := s.lastStates[id]; final.Final() {
		s.fault = fmt.Sprintf("%s written to order %s, which is already %s", st.State, id, final)
	}
	if st.Target != s.order.Target {
		s.fault = fmt.Sprintf("status for target %s written to an order for %s", st.Target, s.order.Target)
	}
	s.lastStates[id] = st.State
	s.revision++
	o := *s.order
	o.Revision, o.State, o.StateTarget = s.revision, st.State, st.Target
	s.order = &o
	return Written
}

func (s *simStore) applyDelayed() {
	delayed := s.delayed
	s.delayed = nil
	for _, c := range delayed {
		s.apply(c)
	}
}

func (s *simStore) put(target, made string, within time.Duration) {
	s.revision++
	o := Order{Service: simService, Target: target, Within: within, Made: made, Revision: s.revision}
	if s.order != nil && s.order.Made == made {
		o.State, o.StateTarget = s.order.State, s.order.StateTarget
	}
	if o.StateTarget != target {
		delete(s.lastStates, made+"/"+target) // another target makes this a new order
	}
	s.order = &o
}

// simRouter is a router: a machine with the gate that it applies.
type simRouter struct {
	machine     *Machine
	started     time.Duration
	paused      bool
	partitioned bool
	leads       bool // leads even if it is not the first live router
	gate        Gate
	stage       Stage
	orderKey    uint64
	peerReports []Report
	steps       []StepCmd
}

// sim is a simulated fleet with its store and its servers.
type sim struct {
	now        time.Duration
	wallOffset time.Duration // offset of the wall clock
	orderAt    time.Duration
	store      *simStore
	routers    []*simRouter
	versions   []string
	badRate    map[string]float64
	// requestRate is in requests a second, over all routers.
	requestRate float64
	// oldDrains is set if requests on old servers end once no new ones are sent there.
	oldDrains     bool
	silentVersion string         // version whose servers never respond
	requests      map[string]int // by version
	badResponses  map[string]int // by version
	rng           *rand.Rand
	fault         string
	ticks         int
}

func newSim(routers int, seed int64) *sim {
	s := &sim{
		store:        &simStore{lastStates: map[string]State{}},
		versions:     []string{oldVersion},
		badRate:      map[string]float64{},
		requests:     map[string]int{},
		badResponses: map[string]int{},
		requestRate:  500,
		oldDrains:    true,
		rng:          rand.New(rand.NewSource(seed)),
	}
	for range routers {
		s.routers = append(s.routers, s.newRouter())
	}
	return s
}

func (s *sim) newRouter() *simRouter {
	return &simRouter{
		machine: NewMachine(Bounds{Share: 0.1, Slack: 50}),
		started: s.now,
	}
}

// restartAll replaces all routers by new ones without state.
func (s *sim) restartAll() {
	for i := range s.routers {
		s.routers[i] = s.newRouter()
	}
}

func (s *sim) placeOrder(target, made string, within time.Duration) {
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

func (s *sim) wallTime() time.Time { return time.Unix(1e9, 0).Add(s.now + s.wallOffset) }

func (s *sim) tickRouter(i int, r *simRouter) {
	now := s.now - r.started
	s.update(r, VersionsMsg{Now: now, Services: map[string][]string{simService: s.versions}})
	if !s.store.down {
		s.deliverStore(r)
	}
	s.deliverResponses(r, now)
	s.deliverPeerReports(r, now)
	running := 0
	if !r.gate.OldClosed || !s.oldDrains {
		running = 3
	}
	s.update(r, TickMsg{
		Now:        now,
		Wall:       s.wallTime(),
		Leads:      r.leads || i == s.leaderIndex(),
		Routers:    1 + len(s.peers(r)),
		OldRunning: map[string]int{simService: running},
	})
	s.checkStage(r)
}

func (s *sim) leaderIndex() int {
	return slices.IndexFunc(s.routers, func(r *simRouter) bool { return !r.paused && !r.partitioned })
}

func (s *sim) peers(r *simRouter) []*simRouter {
	var peers []*simRouter
	for _, o := range s.routers {
		if o != r && !o.paused && !o.partitioned && !r.partitioned {
			peers = append(peers, o)
		}
	}
	return peers
}

func (s *sim) deliverStore(r *simRouter) {
	now := s.now - r.started
	var orders []Order
	if s.store.order != nil {
		orders = append(orders, *s.store.order)
	}
	var records []Record
	if s.store.record != nil {
		records = append(records, *s.store.record)
	}
	s.update(r, OrdersMsg{Now: now, Orders: orders})
	s.update(r, RecordsMsg{Now: now, Wall: s.wallTime(), Records: records})
}

func (s *sim) deliverPeerReports(r *simRouter, now time.Duration) {
	merged := Report{}
	r.peerReports = nil
	for _, o := range s.peers(r) {
		for _, report := range o.machine.Reports() {
			merged = Merge(merged, report)
			r.peerReports = append(r.peerReports, report)
		}
	}
	var reports []Report
	if merged.Routers > 0 {
		reports = append(reports, merged)
	}
	s.update(r, PeerReportsMsg{Now: now, Reports: reports})
}

func (s *sim) deliverResponses(r *simRouter, now time.Duration) {
	if r.gate.InUse == nil || r.gate.Target == "" {
		return
	}
	perTick := s.requestRate / float64(len(s.routers)) * TickInterval.Seconds()
	s.respond(r, now, perTick*r.gate.Fraction, r.gate.Target, true)
	if !r.gate.OldClosed {
		s.respond(r, now, perTick*(1-r.gate.Fraction), r.gate.InUse[0], false)
	}
}

func (s *sim) respond(r *simRouter, now time.Duration, mean float64, version string, target bool) {
	n := int(mean)
	if s.rng.Float64() < mean-float64(n) {
		n++
	}
	if version == s.silentVersion || target && !slices.Contains(s.versions, version) {
		return
	}
	for range n {
		bad := s.rng.Float64() < 0.01+s.badRate[version]
		s.requests[version]++
		if bad {
			s.badResponses[version]++
		}
		s.update(r, ResponseMsg{
			Now:     now,
			Service: simService,
			Route:   string(rune('a' + s.rng.Intn(3))),
			Cohort:  string(rune('x' + s.rng.Intn(3))),
			Target:  target,
			Bad:     bad,
		})
	}
}

func (s *sim) update(r *simRouter, msg Msg) {
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
	if !s.store.down && !s.store.losesReplies && !s.store.delaysWrites {
		s.deliverStore(r)
	}
	s.update(r, WriteDoneMsg{Now: s.now - r.started, Service: c.Service, Kind: c.Kind, Result: result})
}

func (s *sim) checkWrite(r *simRouter, c WriteCmd) {
	if c.Kind != WriteStatus || c.Status.State != Completed {
		return
	}
	for _, report := range append(r.peerReports, r.machine.Reports()...) {
		if report.MinAppliedStage < All && report.Order == r.machine.services[simService].order.Key() {
			s.fault = "completed was written while a router with a current report does not apply the last stage"
		}
	}
}

func (s *sim) checkStage(r *simRouter) {
	for _, report := range r.machine.Reports() {
		if report.Order == r.orderKey && report.MaxStage < r.stage {
			s.fault = "a router's stage decreased"
		}
		r.orderKey, r.stage = report.Order, report.MaxStage
	}
}

// checkGate detects requests to versions that were never ordered, or were rolled back.
func (s *sim) checkGate(r *simRouter) {
	receiving := slices.Clone(r.gate.InUse)
	if r.gate.Fraction > 0 {
		receiving = append(receiving, r.gate.Target)
	}
	if slices.Contains(receiving, "never") {
		s.fault = "a version that was never ordered gets requests"
	}
	o := r.machine.services[simService].order
	if o != nil && o.status() == RolledBack && slices.Contains(receiving, o.Target) && o.Target != oldVersion {
		s.fault = "a version that was rolled back gets requests"
	}
}

func (s *sim) status() State {
	if s.store.order == nil {
		return Ordered
	}
	return s.store.order.status()
}

// newSimWithOrder returns a fleet that has run for a second and then got an order.
func newSimWithOrder(seed int64, bad float64, within time.Duration) *sim {
	s := newSim(3, seed)
	s.run(time.Second)
	s.badRate[newVersion] = bad
	s.placeOrder(newVersion, "m1", within)
	return s
}

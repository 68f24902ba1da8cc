package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

const (
	// claimResponseTimeout is how long a router may leave a claim unanswered before
	// others are asked instead: many times a round trip between regions.
	claimResponseTimeout = 200 * time.Millisecond
	// claimTimeout ends a claim that brought neither a request nor a denial. A
	// request that comes later is rejected without a run.
	claimTimeout = 500 * time.Millisecond
	// idleAfter is how long a team must be without demand and service before
	// its next request counts as newly backlogged.
	idleAfter = 2 * time.Second
	// reannounceAfter is how long a router is taken to remember idle slots.
	reannounceAfter = 2 * time.Second
)

// Machine holds the slots of one backend server and the accounts of the teams.
type Machine struct {
	cfg            Config
	teams          []*team // by name
	byName         map[fleet.Team]*team
	routers        []*routerView // by name
	claims         map[uint64]*claim
	usedOpenClaims map[uint64]bool // open claims that were used
	ready          []uint64        // came and wait for a slot, oldest first
	seq            uint64
	pendingClaims  int // claims with nothing come yet
	running        int // slots in use
	serving        bool
	leaving        bool
	costs          estimator
	sampledAt      time.Duration // when own service was last marked
	serviceSentAt  time.Duration // when a hub was last sent service
	virtualFloor   time.Duration // virtual service below which no team starts anew
}

// New returns a machine with no routers; its server takes no work until a
// HealthMsg says that it serves.
func New(cfg Config) *Machine {
	m := &Machine{
		byName:         map[fleet.Team]*team{},
		claims:         map[uint64]*claim{},
		usedOpenClaims: map[uint64]bool{},
		costs:          newEstimator(),
	}
	m.configure(ConfigMsg{Config: cfg})
	return m
}

// Update takes one message and returns what is to be done about it, in order.
func (m *Machine) Update(msg Msg) []Command {
	switch msg := msg.(type) {
	case ConfigMsg:
		m.configure(msg)
		return append(m.rejectReady(), m.claimWork(msg.Now)...)
	case RouterUpMsg:
		m.routerUp(msg)
		return m.claimWork(msg.Now)
	case RouterDownMsg:
		m.routerDown(msg)
		return nil
	case RouterAliveMsg:
		m.resumeRouter(msg.Router)
		return m.claimWork(msg.Now)
	case DemandMsg:
		m.applyDemand(msg)
		return m.claimWork(msg.Now)
	case DenyMsg:
		m.handleDeny(msg)
		return m.claimWork(msg.Now)
	case ArriveMsg:
		return append(m.arrive(msg), m.claimWork(msg.Now)...)
	case EndMsg:
		m.end(msg)
		return append(m.startReady(msg.Now), m.claimWork(msg.Now)...)
	case TotalsMsg:
		m.mergeTotals(msg)
		return nil
	case HealthMsg:
		m.serving = msg.Serving
		return append(m.rejectReady(), m.claimWork(msg.Now)...)
	case LeaveMsg:
		m.leaving = true
		return nil
	case TickMsg:
		return m.tick(msg)
	}
	return nil
}

// Running returns how many requests hold a slot.
func (m *Machine) Running() int { return m.running }

// Held returns how many requests have come and not ended.
func (m *Machine) Held() int { return m.running + len(m.ready) }

// Slots returns how many slots the server has.
func (m *Machine) Slots() int { return m.cfg.Slots }

// Busy tells whether a request has come and not ended, or may still come.
func (m *Machine) Busy() bool { return len(m.claims) > 0 }

// configure takes a new bundle; accounts and runs stay.
func (m *Machine) configure(msg ConfigMsg) {
	m.cfg = msg.Config
	for _, name := range sortedTeams(msg.Config.Shares) {
		t := m.team(msg.Now, name)
		t.share = msg.Config.Shares[name]
		t.peerSlotRatio = 0 // learned again from the demand
	}
}

func sortedTeams(shares map[fleet.Team]float64) []fleet.Team {
	names := make([]fleet.Team, 0, len(shares))
	for n := range shares {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// team returns the account of a team, making it where there is none. A team
// that the bundle does not name has a share of 1 until it does.
func (m *Machine) team(now time.Duration, name fleet.Team) *team {
	if t, ok := m.byName[name]; ok {
		return t
	}
	t := &team{name: name, share: 1, lastActive: now}
	m.byName[name] = t
	i, _ := slices.BinarySearchFunc(m.teams, name, func(t *team, n fleet.Team) int {
		return cmp.Compare(t.name, n)
	})
	m.teams = slices.Insert(m.teams, i, t)
	return t
}

func (m *Machine) router(n fleet.Name) (*routerView, int, bool) {
	i, ok := slices.BinarySearchFunc(m.routers, n, func(r *routerView, n fleet.Name) int {
		return cmp.Compare(r.name, n)
	})
	if !ok {
		return nil, i, false
	}
	return m.routers[i], i, true
}

func (m *Machine) routerUp(msg RouterUpMsg) {
	r, i, ok := m.router(msg.Router)
	if !ok {
		r = &routerView{name: msg.Router}
		m.routers = slices.Insert(m.routers, i, r)
	}
	r.openClaims = openClaims{}
	m.setSuspended(r, false)
	if msg.Hub && !r.hub {
		r.sent = map[fleet.Team]fleet.ServiceRow{}
		r.nothingSent = true
	}
	r.hub = msg.Hub
}

func (m *Machine) routerDown(msg RouterDownMsg) {
	if _, i, ok := m.router(msg.Router); ok {
		m.routers = slices.Delete(m.routers, i, i+1)
	}
	for _, t := range m.teams {
		for _, l := range t.queues {
			l.removeRouter(msg.Router)
		}
	}
}

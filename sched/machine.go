package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

const (
	// claimResponseTimeout is how long a router may leave a claim unanswered
	// before the agent claims from other routers instead. It is many times a
	// round trip between regions.
	claimResponseTimeout = 200 * time.Millisecond
	// claimTimeout is the age at which a claim that received neither a request
	// nor a denial ends. A request that arrives later is rejected and not run.
	claimTimeout = 500 * time.Millisecond
	// idleAfter is how long a team must have had no demand and no service to
	// count as idle. Its next request then lifts its virtual service.
	idleAfter = 2 * time.Second
	// reannounceAfter is the time after which a router that has not used all its
	// open claims is sent new ones.
	reannounceAfter = 2 * time.Second
)

// Machine schedules the slots of one backend server and holds the service
// accounts of the teams.
type Machine struct {
	cfg            Config
	teams          []*team // ordered by name
	byName         map[fleet.Team]*team
	routers        []*routerView // ordered by name
	claims         map[uint64]*claim
	usedOpenClaims map[uint64]bool // sequence numbers of open claims already used
	ready          []uint64        // arrived requests that wait for a slot, oldest first
	seq            uint64          // last sequence number of a claim or open claim
	pendingClaims  int             // claims for which no request has arrived yet
	running        int             // slots in use
	serving        bool
	leaving        bool
	costs          estimator
	sampledAt      time.Duration // when own service was last sampled
	serviceSentAt  time.Duration // when a service message was last sent to any hub
	virtualFloor   time.Duration // minimum virtual service after a return from idle
}

// New returns a machine with no routers. It takes no work until a HealthMsg
// reports that the server is serving.
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

// Update processes one message and returns the resulting commands in order.
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

// Running returns the number of requests that hold a slot.
func (m *Machine) Running() int { return m.running }

// Held returns the number of requests that have arrived and not ended.
func (m *Machine) Held() int { return m.running + len(m.ready) }

// Slots returns the number of slots of the server.
func (m *Machine) Slots() int { return m.cfg.Slots }

// Busy reports whether any request has arrived and not ended, or may still
// arrive for a pending claim.
func (m *Machine) Busy() bool { return len(m.claims) > 0 }

// configure applies a new configuration and keeps the accounts and claims.
func (m *Machine) configure(msg ConfigMsg) {
	m.cfg = msg.Config
	for _, name := range sortedTeams(msg.Config.Shares) {
		t := m.team(msg.Now, name)
		t.share = msg.Config.Shares[name]
		t.peerSlotRatio = 0 // set again by the next demand
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

// team returns the account of a team and creates it if necessary. A team
// without a configured share has a share of 1 until it gets one.
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

// router returns the view of a router, its index in m.routers and whether it
// exists. If not, the index is where to insert it.
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
		for _, q := range t.queues {
			q.removeRouter(msg.Router)
		}
	}
}

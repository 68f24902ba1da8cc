package direct

import (
	"maps"
	"slices"
	"time"

	"github.com/croftvale/croftvale/quarantine"
)

const (
	// activeRate is the tokens a second from which a team counts as active.
	activeRate = 1.0
	// lateAge is the part of its objective after which a request that comes back
	// can hardly meet it.
	lateAge = 0.6
	// goneMemory is how long a server that left is remembered.
	goneMemory = 10 * time.Second
	// serveEach bounds the waiting requests that are looked at when a server has
	// begun or ended one: it has room for one more, and a few at the front may not
	// fit there. The next tick looks at all.
	serveEach = 4
	// unsentTries bounds the servers that a request may fail to reach.
	unsentTries = 4
)

// Options are what a machine is told once.
type Options struct {
	Zone               string
	Region             string            // of this router
	HallRegions        map[string]string // the region of each data hall that is known
	RetryBudget        RetryBudgetOptions
	Drain              time.Duration      // most that a server that leaves may get requests after its word; 0: unknown
	Gated              bool               // services without a GateMsg serve nobody
	DisabledMechanisms DisabledMechanisms // mechanisms that are switched off in experiments
}

// Machine decides for the requests of one router. Its zero value is not of use;
// make one with NewMachine.
type Machine struct {
	options   Options
	geography geography
	limits    Limits
	services  map[string]Service
	pools     map[string]*pool
	byServer  map[string]*server
	byKey     map[uint32]*server // see loads.Key
	revision  uint64
	runs      map[RequestID]*run
	teams     map[string]*teamUse
	bound     map[string]Regions // of the teams that are bound to some
	groups    []*teamGroup       // of the teams, where some are bound
	// evacuated are the data halls whose servers get nothing, at evacuationsAt.
	evacuated     map[string]bool
	evacuationsAt uint64
	pacing        coldPacing
	reach         map[string]*hallReach // by data hall
	bounds                              // of the teams that are not bound to regions
	// weightUnit turns what a team asks of this router into its weight.
	weightUnit        float64
	ownHeadroom       float64 // what this router takes the headroom to be
	headroom          float64 // what teams may have together, in parts of what is configured
	busy              float64 // how busy the busiest pool of engines is
	sharedAt          time.Duration
	holders           holders
	copies            copies        // made through this router, to be told
	suspectsDroppedAt time.Duration // when suspects were last looked through for old ones
	peers             map[string]peerReport
	routers           int
	hold              time.Duration
	out               []Cmd
	teamsAt           time.Duration // when the others' use of teams came; 0: it has been forgotten
	scratch           []candidate
	loadsAt           time.Duration // when the others' loads came
	suspects          quarantine.Suspects
	reprobed          []*server // that are to be probed again, see probeAgain
	oldNotices        oldNotices
	begun             []*run // whose first events came since the last tick, for the judging of versions
}

// peerReport is the last report of another router.
type peerReport struct {
	at     time.Duration
	report Report
}

// NewMachine returns a machine that knows no configuration and no servers.
func NewMachine(o Options) *Machine {
	return &Machine{
		options:   o,
		geography: newGeography(o.Region, o.Zone, o.HallRegions),
		services:  make(map[string]Service),
		pools:     make(map[string]*pool),
		byServer:  make(map[string]*server),
		byKey:     make(map[uint32]*server),
		runs:      make(map[RequestID]*run),
		teams:     make(map[string]*teamUse),
		reach:     make(map[string]*hallReach),
		evacuated: make(map[string]bool),
		peers:     make(map[string]peerReport),
		routers:   1,
		hold:      time.Second,
	}
}

// Update takes in what happened and returns what to do. The slice is valid
// until the next call.
func (m *Machine) Update(msg Msg) []Cmd {
	m.out = m.out[:0]
	switch msg := msg.(type) {
	case ConfigMsg:
		m.configure(msg)
	case RetryBudgetMsg:
		m.options.RetryBudget = msg.RetryBudget
	case DrainMsg:
		m.options.Drain = msg.Drain
	case ServersMsg:
		m.list(msg)
	case HallRegionsMsg:
		m.placeHalls(msg)
	case EvacuationsMsg:
		m.evacuate(msg)
	case QuarantineMsg:
		m.suspects.SetRecorded(msg.Now, msg.Listed)
	case GateMsg:
		m.takeGate(msg)
	case RequestMsg:
		m.arrive(msg)
	case AdmissionCheckMsg:
		m.door(msg)
	case ShedMsg:
		team, cost := m.team(msg.Team), tokenCost(msg.PromptTokens, msg.OutputTokens)
		team.offered.add(msg.Now, cost)
		team.entered.add(msg.Now, cost)
	case FirstEventMsg:
		m.first(msg)
	case NoticeMsg:
		m.notice(msg)
	case AttemptEndMsg:
		m.end(msg)
	case ProbeResultMsg:
		m.probeEnded(msg)
	case CancelMsg:
		m.leave(msg)
	case PeerReportMsg:
		m.peer(msg)
	case PeerLoadsMsg:
		if m.uses(SharedLoads) {
			m.takeLoads(msg)
		}
	case PeerTeamsMsg:
		m.takeTeams(msg)
	case PeerCopiesMsg:
		m.hearCopies(msg)
	case MembershipMsg:
		m.routers, m.hold = max(msg.Routers, 1), msg.ReportTTL
		m.takeQuiet(msg.SilentHalls)
		m.pacing = coldPacing{routers: max(msg.Known, msg.Routers, 1), rank: msg.Rank}
	case TickMsg:
		m.tick(msg.Now)
	}
	m.tellQuarantine()
	return m.out
}

// uses tells whether a mechanism is not switched off.
func (m *Machine) uses(w Mechanism) bool { return m.options.DisabledMechanisms.Enabled(w) }

func (m *Machine) emit(c Cmd) { m.out = append(m.out, c) }

func (m *Machine) configure(msg ConfigMsg) {
	m.limits = msg.Config.Limits
	clear(m.services)
	for _, s := range msg.Config.Services {
		m.services[s.Name] = s
		m.pool(s.Name).configure(&s, m.limits)
	}
	m.bindTeams(msg.Config.Teams)
}

func (m *Machine) pool(name string) *pool {
	p := m.pools[name]
	if p == nil {
		p = newPool(name)
		if m.options.Gated {
			p.gate = &gate{}
		}
		if s, ok := m.services[name]; ok {
			p.configure(&s, m.limits)
		}
		m.pools[name] = p
	}
	return p
}

func (m *Machine) leave(msg CancelMsg) {
	r := m.runs[msg.ID]
	if r == nil || !r.waiting {
		return
	}
	m.pool(r.Service).queue.remove(r)
	delete(m.runs, msg.ID)
}

func (m *Machine) team(name string) *teamUse {
	t := m.teams[name]
	if t == nil {
		t = newTeamUse()
		t.regions = m.bound[name]
		m.teams[name] = t
	}
	return t
}

// tick refuses what has waited too long and drops what is old.
func (m *Machine) tick(now time.Duration) {
	m.forgetPeers(now)
	m.forgetTeams(now)
	m.dropLoads(now)
	m.dropLapsed(now)
	m.probeHalls(now)
	m.tellBegun(now)
	m.dropSuspects(now)
	m.probeAgain(now)
	m.share(now)
	for _, name := range m.poolNames() {
		p := m.pools[name]
		m.move(now, p)
		m.serve(now, p, maxQueued)
		for _, r := range p.queue.expired(now) {
			m.refuse(now, p, r)
		}
		m.forgetGone(now, p)
	}
}

// poolNames returns the services in order, so that decisions depend on no map's order.
func (m *Machine) poolNames() []string { return slices.Sorted(maps.Keys(m.pools)) }

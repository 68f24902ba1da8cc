package direct

import (
	"maps"
	"slices"
	"time"

	"github.com/croftvale/croftvale/quarantine"
)

const (
	// minActiveRate is the tokens a second from which a team counts as active.
	minActiveRate = 1.0
	// lateAgeFraction is the part of its objective after which a request that comes back
	// can hardly meet it.
	lateAgeFraction = 0.6
	// goneRetention is how long a server that left is remembered.
	goneRetention = 10 * time.Second
	// serveBatch bounds the waiting requests that are looked at when a server has
	// begun or ended one: it has room for one more, and a few at the front may not
	// fit there. The next tick looks at all.
	serveBatch = 4
	// maxUnsentAttempts bounds the servers that a request may fail to reach.
	maxUnsentAttempts = 4
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
	options         Options
	hallRegions     hallRegions
	limits          Limits
	services        map[string]Service
	pools           map[string]*pool
	byServer        map[string]*server
	byKey           map[uint32]*server // see loads.Key
	serversRevision uint64
	requests        map[RequestID]*requestState
	teams           map[string]*teamUsage
	teamRegions     map[string]Regions // of the teams that are bound to some
	groups          []*teamGroup       // of the teams, where some are bound
	// evacuated are the data halls whose servers get nothing, at evacuationsAt.
	evacuated           map[string]bool
	evacuationsRevision uint64
	pacing              coldPacing
	reach               map[string]*hallReach // by data hall
	teamLimits                                // of the teams that are not bound to regions
	// weightScale turns what a team asks of this router into its weight.
	weightScale      float64
	ownHeadroom      float64 // what this router takes the headroom to be
	headroom         float64 // what teams may have together, in parts of what is configured
	busy             float64 // how busy the busiest pool of engines is
	sharesUpdatedAt  time.Duration
	partHolders      partHolders
	copyLog          copyLog       // made through this router, to be told
	suspectsPrunedAt time.Duration // when suspects were last looked through for old ones
	peerReports      map[string]peerReport
	routers          int
	reportTTL        time.Duration
	cmds             []Cmd
	peerTeamsAt      time.Duration // when the others' use of teams came; 0: it has been forgotten
	candidateBuf     []candidate
	peerLoadsAt      time.Duration // when the others' loads came
	suspects         quarantine.Suspects
	pendingReprobes  []*server // that are to be probed again, see probeAgain
	oldNotices       forgottenNotices
	startedRequests  []*requestState // whose first events came since the last tick, for the judging of versions
}

// peerReport is the last report of another router.
type peerReport struct {
	at     time.Duration
	report Report
}

// NewMachine returns a machine that knows no configuration and no servers.
func NewMachine(o Options) *Machine {
	return &Machine{
		options:     o,
		hallRegions: newHallRegions(o.Region, o.Zone, o.HallRegions),
		services:    make(map[string]Service),
		pools:       make(map[string]*pool),
		byServer:    make(map[string]*server),
		byKey:       make(map[uint32]*server),
		requests:    make(map[RequestID]*requestState),
		teams:       make(map[string]*teamUsage),
		reach:       make(map[string]*hallReach),
		evacuated:   make(map[string]bool),
		peerReports: make(map[string]peerReport),
		routers:     1,
		reportTTL:   time.Second,
	}
}

// Update takes in what happened and returns what to do. The slice is valid
// until the next call.
func (m *Machine) Update(msg Msg) []Cmd {
	m.cmds = m.cmds[:0]
	switch msg := msg.(type) {
	case ConfigMsg:
		m.configure(msg)
	case RetryBudgetMsg:
		m.options.RetryBudget = msg.RetryBudget
	case DrainMsg:
		m.options.Drain = msg.Drain
	case ServersMsg:
		m.applyDirectory(msg)
	case HallRegionsMsg:
		m.setHallRegions(msg)
	case EvacuationsMsg:
		m.applyEvacuations(msg)
	case QuarantineMsg:
		m.suspects.SetRecorded(msg.Now, msg.Fingerprints)
	case GateMsg:
		m.applyGate(msg)
	case RequestMsg:
		m.handleArrival(msg)
	case AdmissionCheckMsg:
		m.checkAdmission(msg)
	case ShedMsg:
		team, cost := m.team(msg.Team), tokenCost(msg.PromptTokens, msg.OutputTokens)
		team.offered.add(msg.Now, cost)
		team.admitted.add(msg.Now, cost)
	case FirstEventMsg:
		m.handleFirstEvent(msg)
	case NoticeMsg:
		m.applyNotice(msg)
	case AttemptEndMsg:
		m.endAttempt(msg)
	case ProbeResultMsg:
		m.handleProbe(msg)
	case CancelMsg:
		m.cancel(msg)
	case PeerReportMsg:
		m.recordPeerReport(msg)
	case PeerLoadsMsg:
		if m.enabled(SharedLoads) {
			m.setPeerLoads(msg)
		}
	case PeerTeamsMsg:
		m.setPeerTeams(msg)
	case PeerCopiesMsg:
		m.recordPeerCopies(msg)
	case MembershipMsg:
		m.routers, m.reportTTL = max(msg.Routers, 1), msg.ReportTTL
		m.setSilentHalls(msg.SilentHalls)
		m.pacing = coldPacing{routers: max(msg.Known, msg.Routers, 1), rank: msg.Rank}
	case TickMsg:
		m.tick(msg.Now)
	}
	m.emitQuarantineChanges()
	return m.cmds
}

// enabled tells whether a mechanism is not switched off.
func (m *Machine) enabled(mechanism Mechanism) bool {
	return m.options.DisabledMechanisms.Enabled(mechanism)
}

func (m *Machine) emit(c Cmd) { m.cmds = append(m.cmds, c) }

func (m *Machine) configure(msg ConfigMsg) {
	m.limits = msg.Config.Limits
	clear(m.services)
	for _, s := range msg.Config.Services {
		m.services[s.Name] = s
		m.pool(s.Name).configure(&s, m.limits)
	}
	m.setTeamRegions(msg.Config.Teams)
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

func (m *Machine) cancel(msg CancelMsg) {
	r := m.requests[msg.ID]
	if r == nil || !r.waiting {
		return
	}
	m.pool(r.Service).queue.remove(r)
	delete(m.requests, msg.ID)
}

func (m *Machine) team(name string) *teamUsage {
	t := m.teams[name]
	if t == nil {
		t = newTeamUsage()
		t.regions = m.teamRegions[name]
		m.teams[name] = t
	}
	return t
}

// tick refuses what has waited too long and drops what is old.
func (m *Machine) tick(now time.Duration) {
	m.expirePeerReports(now)
	m.expirePeerTeams(now)
	m.expirePeerLoads(now)
	m.dropLapsed(now)
	m.probeHalls(now)
	m.reportStreamStarts(now)
	m.expireSuspects(now)
	m.reprobe(now)
	m.updateShares(now)
	for _, name := range m.poolNames() {
		p := m.pools[name]
		m.moveStreams(now, p)
		m.serveQueue(now, p, maxQueued)
		for _, r := range p.queue.expired(now) {
			m.refuseWaiting(now, p, r)
		}
		m.forgetGone(now, p)
	}
}

// poolNames returns the services in order, so that decisions depend on no map's order.
func (m *Machine) poolNames() []string { return slices.Sorted(maps.Keys(m.pools)) }

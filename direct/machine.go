package direct

import (
	"maps"
	"slices"
	"time"

	"github.com/croftvale/croftvale/quarantine"
)

const (
	// minActiveRate is the demand, in tokens per second, above which a team counts as active.
	minActiveRate = 1.0
	// lateAgeFraction is the fraction of its objective after which a repeated request can
	// hardly meet it any more.
	lateAgeFraction = 0.6
	// goneRetention is how long a server that left is remembered.
	goneRetention = 10 * time.Second
	// serveBatch bounds the waiting requests that are tried when a server has started or ended
	// one. The server has room for one more, and a few at the front may not fit there. The next
	// tick tries all of them.
	serveBatch = 4
	// maxUnsentAttempts bounds the servers that a request may fail to reach.
	maxUnsentAttempts = 4
)

// Options are the settings of a new machine.
type Options struct {
	Zone               string
	Region             string            // of this router
	HallRegions        map[string]string // regions of the known data halls
	RetryBudget        RetryBudgetOptions
	Drain              time.Duration      // maximum time that a leaving server may get requests after its notice; 0: unknown
	Gated              bool               // services without a GateMsg serve no requests
	DisabledMechanisms DisabledMechanisms // switched off in experiments
}

// Machine makes the decisions about the requests of one router. Create one with NewMachine; the
// zero value is not usable.
type Machine struct {
	options         Options
	hallRegions     hallRegions
	limits          Limits
	services        map[string]Service
	pools           map[string]*pool
	byServer        map[string]*server
	byKey           map[uint32]*server // by the key that package loads uses
	serversRevision uint64
	requests        map[RequestID]*requestState
	teams           map[string]*teamUsage
	teamRegions     map[string]Regions // regions of the teams that are restricted to some
	groups          []*teamGroup       // groups of restricted teams; empty if there are none
	// evacuated are the data halls whose servers get no requests, as of evacuationsRevision.
	evacuated           map[string]bool
	evacuationsRevision uint64
	pacing              coldPacing
	reach               map[string]*hallReach // by data hall
	teamLimits                                // of the teams that are not restricted to regions
	// weightScale converts a team's demand at this router to its weight.
	weightScale       float64
	ownHeadroom       float64 // this router's own estimate
	headroom          float64 // capacity that teams share, as a multiple of the configured capacity
	busy              float64 // smoothed load of the busiest pool of engines; above 1 it is busy
	sharesUpdatedAt   time.Duration
	partHolders       partHolders
	copyLog           copyLog       // copies made through this router, to be announced
	suspectsExpiredAt time.Duration // when old suspects were last removed
	peerReports       map[string]peerReport
	routers           int
	reportTTL         time.Duration
	cmds              []Cmd
	peerTeamsAt       time.Duration // when the peers' use of teams was received; 0: expired
	candidateBuf      []candidate
	peerLoadsAt       time.Duration       // when the peers' loads were received
	suspects          quarantine.Suspects // contents of requests
	partSuspects      quarantine.Suspects
	peerPartsAt       time.Duration // when another router last reported parts that it bars or nearly bars; 0: never
	pendingReprobes   []*server     // to be probed again; see reprobe
	forgottenNotices  forgottenNotices
	startedRequests   []*requestState // whose first event came since the last tick, as evidence about versions
}

// peerReport is the last report of another router and the time it was received.
type peerReport struct {
	at     time.Duration
	report Report
}

// NewMachine returns a machine without a configuration or servers.
func NewMachine(o Options) *Machine {
	m := &Machine{
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
	m.partSuspects = quarantine.NewPartSuspects(&m.suspects)
	return m
}

// Update processes a message and returns the commands to carry out. The slice is valid until
// the next call.
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
		m.suspectsOf(msg.Kind).SetRecorded(msg.Now, msg.Fingerprints)
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
	case IncarnationMsg:
		m.recordIncarnation(msg)
	case VersionMsg:
		m.setVersion(msg)
	case BackupMsg:
		m.startBackup(msg)
	case TakeOverMsg:
		m.takeOver(msg)
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

// enabled reports whether a mechanism is switched on.
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

// tick serves the queues, refuses requests whose time in the queue is over, and expires old
// state.
func (m *Machine) tick(now time.Duration) {
	m.expirePeerReports(now)
	m.expirePeerTeams(now)
	m.expirePeerLoads(now)
	m.dropLapsed(now)
	m.probeHalls(now)
	m.reportStreamStarts(now)
	m.expireSuspects(now)
	m.reprobe(now)
	m.checkSurvivors(now)
	m.updateShares(now)
	for _, name := range m.poolNames() {
		p := m.pools[name]
		m.serveQueue(now, p, maxQueued)
		for _, r := range p.queue.expired(now) {
			m.refuseWaiting(now, p, r)
		}
		m.forgetGone(now, p)
	}
}

// poolNames returns the names of the services in sorted order, so that decisions don't depend
// on the order of a map.
func (m *Machine) poolNames() []string { return slices.Sorted(maps.Keys(m.pools)) }

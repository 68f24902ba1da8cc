package loads

import (
	"maps"
	"slices"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

const (
	// RoundInterval is the time between two rounds.
	RoundInterval = 25 * time.Millisecond
	// LoadsTTL is how long a list counts that is not renewed.
	LoadsTTL = 300 * time.Millisecond
	// idleEvery is the time between two reports of a router that has nothing.
	idleEvery = 250 * time.Millisecond
	// silence is how long an aggregator may leave reports unanswered; then it is
	// avoided for some time.
	silence    = 150 * time.Millisecond
	avoidedFor = 2 * time.Second
)

// list is the newest of a kind from one router.
type list struct {
	at     time.Duration
	number uint64
	loads  []Load
}

// Exchange decides whom one router tells what it has. Make one with NewExchange.
type Exchange struct {
	self    Router
	routers []Router
	there   map[string]Router // the same by address
	reports map[string]list   // of routers that report to this one
	sums    map[string]list   // of other aggregators
	digests map[string]list   // answers of aggregators
	own     []Load
	// teamReports and teamSums are the lists of teams that came with reports and sums. They
	// count for longer than the loads that they came with.
	teamReports map[string]teamList
	teamSums    map[string]teamList
	ownTeams    []TeamUse
	ownRollouts []rollout.Report
	regions     map[regionKey]regionList // what other regions have
	// asked are the routers of other regions that this one tells, and since when.
	asked       map[string]time.Duration
	sentFull    map[string]fullDigest // the last full digests, by the router that each was sent to
	heldFull    fullDigest            // the last full digest that came
	copies      copyLog
	newCopies   []Copy // of other routers, not yet handed on in an OthersCmd
	copyReaders map[listKey]*copyReader
	// unanswered is when the first report was sent that the aggregator has not
	// answered; 0: there is none.
	unanswered time.Duration
	aggregator string
	chosenAt   time.Duration
	regional   bool                     // there are other regions, or were
	avoided    map[string]time.Duration // until when
	reportedAt time.Duration
	out        []Cmd
}

// NewExchange returns the exchange of one router.
func NewExchange(self Router) *Exchange {
	return &Exchange{
		self: self, aggregator: self.Address,
		reports: make(map[string]list), sums: make(map[string]list),
		digests: make(map[string]list), avoided: make(map[string]time.Duration),
		teamReports: make(map[string]teamList), teamSums: make(map[string]teamList),
		regions: make(map[regionKey]regionList), asked: make(map[string]time.Duration),
		copyReaders: make(map[listKey]*copyReader), sentFull: make(map[string]fullDigest),
	}
}

// Update takes in what happened and returns what to do. The slice is valid until
// the next call.
func (e *Exchange) Update(msg Msg) []Cmd {
	e.out = e.out[:0]
	switch msg := msg.(type) {
	case RoutersMsg:
		e.takeRouters(msg)
	case ListMsg:
		e.take(msg)
	case TickMsg:
		e.tick(msg)
	}
	return e.out
}

func (e *Exchange) emit(c Cmd) { e.out = append(e.out, c) }

// Aggregator returns the router that this one reports to; it may be itself.
func (e *Exchange) Aggregator() string { return e.aggregator }

func (e *Exchange) takeRouters(msg RoutersMsg) {
	e.routers = msg.Routers
	e.there = make(map[string]Router, len(msg.Routers))
	for _, r := range msg.Routers {
		e.there[r.Address] = r
		e.regional = e.regional || r.Region != e.self.Region
	}
}

func (e *Exchange) take(msg ListMsg) {
	switch msg.Kind {
	case Report:
		if renew(e.reports, msg) {
			takeTeams(e.teamReports, msg)
			e.newCopies = append(e.newCopies, e.takeCopies(msg.Now, msg.Copies, fromReport, msg.From)...)
			e.answer(msg)
		}
	case Sum:
		if renew(e.sums, msg) {
			takeTeams(e.teamSums, msg)
			e.newCopies = append(e.newCopies, e.takeCopies(msg.Now, msg.Copies, fromSum, msg.From)...)
		}
	case Digest:
		e.takeDigest(msg)
	case RegionSum, RegionAnswer, RegionForward, RegionDigest:
		e.takeRegion(msg)
	}
}

// renew keeps a list that is newer than the last of its router.
func renew(lists map[string]list, msg ListMsg) bool {
	if old, ok := lists[msg.From]; ok && msg.Number <= old.number {
		return false
	}
	lists[msg.From] = list{at: msg.Now, number: msg.Number, loads: msg.Loads}
	return true
}

func (e *Exchange) takeDigest(msg ListMsg) {
	if msg.From != e.aggregator || !renew(e.digests, msg) {
		return
	}
	e.unanswered = 0
	e.newCopies = append(e.newCopies, e.takeCopies(msg.Now, msg.Copies, fromDigest, msg.From)...)
	loads, ok := e.expand(msg)
	if !ok { // the next report says what this router holds
		return
	}
	e.tellSelf(msg.Now, PeerTotalsCmd{Loads: loads, HasTeams: msg.HasTeams, Teams: msg.Teams, Rollouts: msg.Rollouts})
}

// tellSelf says what all the others have, those of other regions too.
func (e *Exchange) tellSelf(now time.Duration, near PeerTotalsCmd) {
	others := e.others(now, near)
	others.Copies, e.newCopies = e.newCopies, nil
	e.emit(others)
}

// answer tells a router that has reported what all the others of the region have.
func (e *Exchange) answer(report ListMsg) {
	now, to := report.Now, report.From
	digest := SendCmd{To: to, Kind: Digest, HasTeams: report.HasTeams, Copies: e.copiesFor(now, to, Digest)}
	e.dropLoads(now)
	digest.Loads, digest.Base = e.deltaFor(report, e.allBut(to))
	if report.HasTeams {
		digest.Teams, digest.Rollouts = e.teamsBut(now, to), e.rolloutsBut(now, to)
	}
	e.emit(digest)
}

func (e *Exchange) tick(msg TickMsg) {
	e.own = msg.Own
	if msg.HasTeams {
		e.ownTeams, e.ownRollouts = msg.Teams, msg.Rollouts
	}
	e.forget(msg.Now)
	e.choose(msg.Now)
	e.takeCopies(msg.Now, msg.Copies, fromSelf, "")
	if e.aggregator == e.self.Address {
		e.tellSelf(msg.Now, e.near(msg))
	} else {
		e.report(msg)
	}
	e.tellAggregators(msg)
	if msg.HasTeams {
		e.tellRegions(msg.Now)
	}
}

// near is what all the others of the region have, as this aggregator knows it.
func (e *Exchange) near(msg TickMsg) PeerTotalsCmd {
	others := PeerTotalsCmd{Loads: e.allBut(e.self.Address), HasTeams: msg.HasTeams}
	if msg.HasTeams {
		others.Teams, others.Rollouts = e.teamsBut(msg.Now, e.self.Address), e.rolloutsBut(msg.Now, e.self.Address)
	}
	return others
}

// report sends what this router has to its aggregator.
func (e *Exchange) report(msg TickMsg) {
	now := msg.Now
	copies := e.copiesFor(now, e.aggregator, Report)
	if len(e.own) == 0 && len(copies) == 0 && !msg.HasTeams && now-e.reportedAt < idleEvery {
		return
	}
	e.reportedAt = now
	if e.unanswered == 0 {
		e.unanswered = now
	}
	e.emit(SendCmd{
		To: e.aggregator, Kind: Report, Base: e.heldFull.base, Loads: e.own,
		HasTeams: msg.HasTeams, Teams: msg.Teams, Rollouts: msg.Rollouts, Copies: copies,
	})
}

// tellAggregators sends the sum of those that report here to the aggregators of
// the region's other halls, and to all that send theirs.
func (e *Exchange) tellAggregators(msg TickMsg) {
	if !e.gathers() {
		return
	}
	cmd := SendCmd{Kind: Sum, Loads: e.reported(""), HasTeams: msg.HasTeams}
	if msg.HasTeams {
		cmd.Teams, cmd.Rollouts = e.reportedTeams(msg.Now, ""), e.reportedRollouts(msg.Now, "")
	}
	for _, cmd.To = range e.neighbours() {
		cmd.Copies = e.copiesFor(msg.Now, cmd.To, Sum)
		e.emit(cmd)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

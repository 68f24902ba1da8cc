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
	// LoadsTTL is how long the loads of a list count without a newer list.
	LoadsTTL = 300 * time.Millisecond
	// idleReportInterval is the time between two reports of a router without loads.
	idleReportInterval = 250 * time.Millisecond
	// aggregatorTimeout is how long an aggregator may leave reports unanswered. After that it is
	// avoided for avoidDuration.
	aggregatorTimeout = 150 * time.Millisecond
	avoidDuration     = 2 * time.Second
)

// list is the newest list of one kind from one router.
type list struct {
	receivedAt time.Duration
	number     uint64
	loads      []Load
}

// Exchange decides which lists one router sends to which others. Create one with NewExchange.
type Exchange struct {
	self      Router
	routers   []Router
	byAddress map[string]Router // the same routers by address
	reports   map[string]list   // of routers that report to this one
	sums      map[string]list   // of other aggregators
	digests   map[string]list   // answers of aggregators
	own       []Load
	// teamReports and teamSums hold the team usage that came with reports and sums. It counts for
	// longer than the loads that it came with.
	teamReports map[string]teamList
	teamSums    map[string]teamList
	ownTeams    []TeamUse
	ownRollouts []rollout.Report
	regionLists map[regionKey]regionList // totals of other regions
	// regionTargets are the routers of other regions that this one sends its region's totals to,
	// and since when.
	regionTargets map[string]time.Duration
	sentDigests   map[string]fullDigest // the last full digests sent, by receiver
	heldDigest    fullDigest            // the last full digest received
	copies        copyLog
	newCopies     []Copy // of other routers, not yet returned in a PeerTotalsCmd
	copyCursors   map[listKey]*copyCursor
	// unansweredSince is when the first report was sent that the aggregator has not answered; 0:
	// none.
	unansweredSince time.Duration
	aggregator      string                   // address; see Aggregator
	chosenAt        time.Duration            // when the aggregator was chosen; 0: it is the initial one
	multiRegion     bool                     // there are other regions, or have been
	avoidedUntil    map[string]time.Duration // by address; the time until which a router is avoided
	reportedAt      time.Duration
	cmds            []Cmd
}

// NewExchange returns the exchange of one router.
func NewExchange(self Router) *Exchange {
	return &Exchange{
		self: self, aggregator: self.Address,
		reports: make(map[string]list), sums: make(map[string]list),
		digests: make(map[string]list), avoidedUntil: make(map[string]time.Duration),
		teamReports: make(map[string]teamList), teamSums: make(map[string]teamList),
		regionLists: make(map[regionKey]regionList), regionTargets: make(map[string]time.Duration),
		copyCursors: make(map[listKey]*copyCursor), sentDigests: make(map[string]fullDigest),
	}
}

// Update handles a message and returns the commands to execute. The slice is valid until the next
// call.
func (e *Exchange) Update(msg Msg) []Cmd {
	e.cmds = e.cmds[:0]
	switch msg := msg.(type) {
	case RoutersMsg:
		e.setRouters(msg)
	case ListMsg:
		e.handleList(msg)
	case TickMsg:
		e.tick(msg)
	}
	return e.cmds
}

func (e *Exchange) emit(c Cmd) { e.cmds = append(e.cmds, c) }

// Aggregator returns the address of the router that this one reports to, which may be itself.
func (e *Exchange) Aggregator() string { return e.aggregator }

func (e *Exchange) setRouters(msg RoutersMsg) {
	e.routers = msg.Routers
	e.byAddress = make(map[string]Router, len(msg.Routers))
	for _, r := range msg.Routers {
		e.byAddress[r.Address] = r
		e.multiRegion = e.multiRegion || r.Region != e.self.Region
	}
}

func (e *Exchange) handleList(msg ListMsg) {
	switch msg.Kind {
	case Report:
		if storeIfNewer(e.reports, msg) {
			storeTeams(e.teamReports, msg)
			e.newCopies = append(e.newCopies, e.addCopies(msg.Now, msg.Copies, fromReport, msg.From)...)
			e.answerReport(msg)
		}
	case Sum:
		if storeIfNewer(e.sums, msg) {
			storeTeams(e.teamSums, msg)
			e.newCopies = append(e.newCopies, e.addCopies(msg.Now, msg.Copies, fromSum, msg.From)...)
		}
	case Digest:
		e.handleDigest(msg)
	case RegionSum, RegionAnswer, RegionForward, RegionDigest:
		e.handleRegion(msg)
	}
}

// storeIfNewer stores a list if it is newer than the last one of its sender, and reports whether it
// is.
func storeIfNewer(lists map[string]list, msg ListMsg) bool {
	if old, ok := lists[msg.From]; ok && msg.Number <= old.number {
		return false
	}
	lists[msg.From] = list{receivedAt: msg.Now, number: msg.Number, loads: msg.Loads}
	return true
}

func (e *Exchange) handleDigest(msg ListMsg) {
	if msg.From != e.aggregator || !storeIfNewer(e.digests, msg) {
		return
	}
	e.unansweredSince = 0
	e.newCopies = append(e.newCopies, e.addCopies(msg.Now, msg.Copies, fromDigest, msg.From)...)
	loads, ok := e.applyDigest(msg)
	if !ok { // the next report names the digest that this router holds
		return
	}
	e.emitPeerTotals(msg.Now, PeerTotalsCmd{Loads: loads, HasTeams: msg.HasTeams, Teams: msg.Teams, Rollouts: msg.Rollouts})
}

// emitPeerTotals emits the totals of all other routers: the given ones of this region, and those of
// other regions.
func (e *Exchange) emitPeerTotals(now time.Duration, inRegion PeerTotalsCmd) {
	others := e.addOtherRegions(now, inRegion)
	others.Copies, e.newCopies = e.newCopies, nil
	e.emit(others)
}

// answerReport answers a report with the totals of all other routers of the region.
func (e *Exchange) answerReport(report ListMsg) {
	now, to := report.Now, report.From
	digest := SendCmd{To: to, Kind: Digest, HasTeams: report.HasTeams, Copies: e.copiesFor(now, to, Digest)}
	e.dropLoads(now)
	digest.Loads, digest.Base = e.deltaFor(report, e.loadsExcept(to))
	if report.HasTeams {
		digest.Teams, digest.Rollouts = e.teamsExcept(now, to), e.rolloutsExcept(now, to)
	}
	e.emit(digest)
}

func (e *Exchange) tick(msg TickMsg) {
	e.own = msg.Own
	if msg.HasTeams {
		e.ownTeams, e.ownRollouts = msg.Teams, msg.Rollouts
	}
	e.dropExpired(msg.Now)
	e.chooseAggregator(msg.Now)
	e.addCopies(msg.Now, msg.Copies, fromSelf, "")
	if e.aggregator == e.self.Address {
		e.emitPeerTotals(msg.Now, e.peerTotalsInRegion(msg))
	} else {
		e.sendReport(msg)
	}
	e.sendSums(msg)
	if msg.HasTeams {
		e.sendRegionSums(msg.Now)
	}
}

// peerTotalsInRegion returns the totals of all other routers of the region, as received by this
// aggregator.
func (e *Exchange) peerTotalsInRegion(msg TickMsg) PeerTotalsCmd {
	others := PeerTotalsCmd{Loads: e.loadsExcept(e.self.Address), HasTeams: msg.HasTeams}
	if msg.HasTeams {
		others.Teams, others.Rollouts = e.teamsExcept(msg.Now, e.self.Address), e.rolloutsExcept(msg.Now, e.self.Address)
	}
	return others
}

// sendReport sends the loads of this router to its aggregator.
func (e *Exchange) sendReport(msg TickMsg) {
	now := msg.Now
	copies := e.copiesFor(now, e.aggregator, Report)
	if len(e.own) == 0 && len(copies) == 0 && !msg.HasTeams && now-e.reportedAt < idleReportInterval {
		return
	}
	e.reportedAt = now
	if e.unansweredSince == 0 {
		e.unansweredSince = now
	}
	e.emit(SendCmd{
		To: e.aggregator, Kind: Report, Base: e.heldDigest.checksum, Loads: e.own,
		HasTeams: msg.HasTeams, Teams: msg.Teams, Rollouts: msg.Rollouts, Copies: copies,
	})
}

// sendSums sends the sum of the reports to this router to the aggregators of the region's other
// halls, and to all routers that send sums.
func (e *Exchange) sendSums(msg TickMsg) {
	if !e.aggregates() {
		return
	}
	cmd := SendCmd{Kind: Sum, Loads: e.reportedLoads(""), HasTeams: msg.HasTeams}
	if msg.HasTeams {
		cmd.Teams, cmd.Rollouts = e.reportedTeams(msg.Now, ""), e.reportedRollouts(msg.Now, "")
	}
	for _, cmd.To = range e.peerAggregators() {
		cmd.Copies = e.copiesFor(msg.Now, cmd.To, Sum)
		e.emit(cmd)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

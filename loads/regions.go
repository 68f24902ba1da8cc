package loads

import (
	"maps"
	"slices"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// RegionTTL is how long the list of another region counts that is not renewed: they come
// with the lists that tell of teams, and a few may be lost.
const RegionTTL = TeamsTTL

// regionTimeout is how long a router of another region may leave lists unanswered before the
// next one is told too, and how old its list may be before a worse sender's newer list counts
// instead: time for three lists to be lost in a row.
const regionTimeout = 4 * TeamsInterval

// maxRegionTargets bounds the routers of one region that are told while none of them answers: the
// first of its halls' aggregators, the next one, and a router that may have taken over from
// the first.
const maxRegionTargets = 3

// regionKey names the lists that one router tells of one region.
type regionKey struct{ region, from string }

// regionList is what all routers of another region have. Lists of one region cover the
// same routers, whoever tells them: one of them counts, never two.
type regionList struct {
	list
	from     string
	teams    []TeamUse
	rollouts []rollout.Report
}

// handleRegion takes in what another region has and passes it on: a region's aggregator to
// those of its halls, and these to the routers that report to them.
func (e *Exchange) handleRegion(msg ListMsg) {
	if msg.Region == e.self.Region || !e.storeRegionIfNewer(msg) {
		return
	}
	if _, contacted := e.regionTargets[msg.From]; msg.Kind == RegionSum && e.aggregates() && !contacted {
		e.dropLoads(msg.Now)
		e.emit(e.regionSum(msg.Now, msg.From, RegionAnswer))
	}
	if e.bestRegionList(msg.Now, msg.Region).from == msg.From {
		e.forward(msg)
	}
}

// storeRegionIfNewer keeps a list that is newer than the last of its region and sender.
func (e *Exchange) storeRegionIfNewer(msg ListMsg) bool {
	key := regionKey{msg.Region, msg.From}
	if old, ok := e.regionLists[key]; ok && msg.Number <= old.number {
		return false
	}
	e.regionLists[key] = regionList{
		list: list{receivedAt: msg.Now, number: msg.Number, loads: msg.Loads},
		from: msg.From, teams: msg.Teams, rollouts: msg.Rollouts,
	}
	return true
}

// forward hands another region's list one step down; no step leads back up, so none goes
// round in a circle.
func (e *Exchange) forward(msg ListMsg) {
	if !e.aggregates() {
		return
	}
	switch msg.Kind {
	case RegionSum, RegionAnswer:
		e.forwardTo(msg, RegionForward, e.peerAggregators())
		e.forwardTo(msg, RegionDigest, sortedKeys(e.reports))
	case RegionForward:
		e.forwardTo(msg, RegionDigest, sortedKeys(e.reports))
	}
}

func (e *Exchange) forwardTo(msg ListMsg, kind Kind, to []string) {
	for _, r := range to {
		if r != msg.From {
			e.emit(SendCmd{To: r, Kind: kind, Region: msg.Region, Loads: msg.Loads, HasTeams: true, Teams: msg.Teams, Rollouts: msg.Rollouts})
		}
	}
}

// aggregates tells whether this router adds up what others have.
func (e *Exchange) aggregates() bool { return e.aggregator == e.self.Address || len(e.reports) > 0 }

// leadsRegion tells whether this router is the best of its region, which tells the others.
func (e *Exchange) leadsRegion() bool {
	return !slices.ContainsFunc(e.routers, func(r Router) bool { return r.Region == e.self.Region && betterAggregator(r, e.self) })
}

// sendRegionSums sends what this region has to one router of each other region, or to a few
// where the first do not answer.
func (e *Exchange) sendRegionSums(now time.Duration) {
	previous := e.regionTargets
	e.regionTargets = make(map[string]time.Duration)
	if !e.leadsRegion() {
		return
	}
	for _, region := range e.otherRegions() {
		for _, r := range e.candidates(region) {
			since, ok := previous[r.Address]
			if !ok {
				since = now
			}
			e.regionTargets[r.Address] = since
			e.emit(e.regionSum(now, r.Address, RegionSum))
			if e.answeredRecently(now, r) || now-since <= regionTimeout {
				break
			}
		}
	}
}

// answeredRecently tells whether a router of another region has told of it lately.
func (e *Exchange) answeredRecently(now time.Duration, r Router) bool {
	l, ok := e.regionLists[regionKey{r.Region, r.Address}]
	return ok && now-l.receivedAt <= regionTimeout
}

// regionSum is the list of all that this router's region has.
func (e *Exchange) regionSum(now time.Duration, to string, kind Kind) SendCmd {
	return SendCmd{
		To: to, Kind: kind, Region: e.self.Region, Loads: e.loadsExcept(""),
		HasTeams: true, Teams: e.teamsExcept(now, ""), Rollouts: e.rolloutsExcept(now, ""),
	}
}

// otherRegions returns the regions of the routers that are there, but for this one's.
func (e *Exchange) otherRegions() []string {
	found := make(map[string]bool)
	for _, r := range e.routers {
		if r.Region != e.self.Region {
			found[r.Region] = true
		}
	}
	return sortedKeys(found)
}

// candidates returns the routers of a region that should know all that it has, the likeliest
// first: the best of its halls, and then others, to which a hall may have turned.
func (e *Exchange) candidates(region string) []Router {
	leaders := e.hallLeaders()
	var out []Router
	for _, r := range e.routers {
		if r.Region == region {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Router) int {
		if leadsA, leadsB := leaders[a.Hall] == a, leaders[b.Hall] == b; leadsA != leadsB {
			if leadsA {
				return -1
			}
			return 1
		}
		return compareAggregators(a, b)
	})
	return out[:min(len(out), maxRegionTargets)]
}

// bestRegionList returns the list of another region that counts: that of the bestRegionList sender which
// still tells, or else the last one.
func (e *Exchange) bestRegionList(now time.Duration, region string) regionList {
	var best regionList
	for key, l := range e.regionLists {
		if key.region == region && (best.from == "" || e.betterRegionList(now, l, best)) {
			best = l
		}
	}
	return best
}

// betterRegionList tells whether a list of a region counts rather than another of the same region.
func (e *Exchange) betterRegionList(now time.Duration, a, b regionList) bool {
	freshA, freshB := now-a.receivedAt <= regionTimeout, now-b.receivedAt <= regionTimeout
	switch {
	case freshA != freshB:
		return freshA
	case !freshA && a.receivedAt != b.receivedAt:
		return a.receivedAt > b.receivedAt
	}
	return betterAggregator(e.router(a.from), e.router(b.from))
}

// router returns what is known of a router; one that is not there is no good aggregator.
func (e *Exchange) router(address string) Router {
	if r, ok := e.byAddress[address]; ok {
		return r
	}
	return Router{Address: address}
}

// bestRegionLists returns the list that counts of each region that was heard of.
func (e *Exchange) bestRegionLists(now time.Duration) map[string]regionList {
	out := make(map[string]regionList)
	for key := range e.regionLists {
		if _, ok := out[key.region]; !ok {
			out[key.region] = e.bestRegionList(now, key.region)
		}
	}
	return out
}

// addOtherRegions says what all addOtherRegions have: those of the region, and what is held of other regions.
func (e *Exchange) addOtherRegions(now time.Duration, inRegion PeerTotalsCmd) PeerTotalsCmd {
	lists := e.bestRegionLists(now)
	if len(lists) == 0 {
		return inRegion
	}
	loads, teams, rollouts := [][]Load{inRegion.Loads}, [][]TeamUse{inRegion.Teams}, [][]rollout.Report{inRegion.Rollouts}
	for _, region := range sortedKeys(lists) {
		l := lists[region]
		teams = append(teams, e.countedRegionTeams(now, region, l))
		if now-l.receivedAt <= RegionTTL {
			loads = append(loads, l.loads)
			rollouts = append(rollouts, l.rollouts)
		}
	}
	inRegion.Loads = sum(loads...)
	if inRegion.HasTeams {
		inRegion.Teams, inRegion.Rollouts = sumTeams(teams...), mergeRollouts(rollouts...)
	}
	return inRegion
}

// countedRegionTeams returns what counts of the teams of another region: see counted.
func (e *Exchange) countedRegionTeams(now time.Duration, region string, l regionList) []TeamUse {
	if now-l.receivedAt <= TeamsTTL {
		return l.teams
	}
	if slices.ContainsFunc(e.routers, func(r Router) bool { return r.Region == region }) {
		return nil
	}
	return demandOnly(l.teams)
}

// dropRegions forgets the lists of which nothing counts any more.
func (e *Exchange) dropRegions(now time.Duration) {
	maps.DeleteFunc(e.regionLists, func(_ regionKey, l regionList) bool { return now-l.receivedAt > TeamsTTL+DemandTTL })
}

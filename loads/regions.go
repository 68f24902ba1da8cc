package loads

import (
	"maps"
	"slices"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// RegionTTL is how long the loads of another region count without a newer list. Region lists come
// with the lists that carry team usage, and a few may be lost.
const RegionTTL = TeamsTTL

// regionTimeout is how long a router of another region may leave lists unanswered before the next
// router is sent them too. It is also the age from which a list counts less than a newer list of a
// less preferred sender. Three lists in a row may be lost in that time.
const regionTimeout = 4 * TeamsInterval

// maxRegionTargets bounds the routers of one region that are sent lists while none of them answers:
// the first of its halls' aggregators, the next one, and a router that may have replaced the first.
const maxRegionTargets = 3

// regionKey identifies the lists of one region from one sender.
type regionKey struct{ region, from string }

// regionList holds the totals of another region. All lists of a region cover the same routers,
// whoever sends them, so exactly one of them counts.
type regionList struct {
	list
	from     string
	teams    []TeamUse
	rollouts []rollout.Report
}

// handleRegion stores the totals of another region and forwards them: the router that received them
// from the other region to the aggregators of its own region's halls, and these to the routers that
// report to them.
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

// storeRegionIfNewer stores a list if it is newer than the last one of its region and sender, and
// reports whether it is.
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

// forward forwards another region's list one level down. No level forwards upwards, so no list
// circulates.
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

// aggregates reports whether this router sums up the loads of others.
func (e *Exchange) aggregates() bool { return e.aggregator == e.self.Address || len(e.reports) > 0 }

// leadsRegion reports whether this router is the best aggregator of its region and thus sends the
// region's totals to other regions.
func (e *Exchange) leadsRegion() bool {
	return !slices.ContainsFunc(e.routers, func(r Router) bool { return r.Region == e.self.Region && betterAggregator(r, e.self) })
}

// sendRegionSums sends the totals of this region to one router of each other region, or to several
// if the first ones do not answer.
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

// answeredRecently reports whether a router of another region has sent its region's totals within
// regionTimeout.
func (e *Exchange) answeredRecently(now time.Duration, r Router) bool {
	l, ok := e.regionLists[regionKey{r.Region, r.Address}]
	return ok && now-l.receivedAt <= regionTimeout
}

// regionSum returns a list with the totals of this router's region.
func (e *Exchange) regionSum(now time.Duration, to string, kind Kind) SendCmd {
	return SendCmd{
		To: to, Kind: kind, Region: e.self.Region, Loads: e.loadsExcept(""),
		HasTeams: true, Teams: e.teamsExcept(now, ""), Rollouts: e.rolloutsExcept(now, ""),
	}
}

// otherRegions returns the regions of the live routers, except for this router's own.
func (e *Exchange) otherRegions() []string {
	found := make(map[string]bool)
	for _, r := range e.routers {
		if r.Region != e.self.Region {
			found[r.Region] = true
		}
	}
	return sortedKeys(found)
}

// candidates returns the routers of a region that should receive all lists of it, most likely
// first: the best routers of its halls, and then others that a hall may have switched to.
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

// bestRegionList returns the list of another region that counts: that of the best sender that still
// sends, or else the latest one.
func (e *Exchange) bestRegionList(now time.Duration, region string) regionList {
	var best regionList
	for key, l := range e.regionLists {
		if key.region == region && (best.from == "" || e.betterRegionList(now, l, best)) {
			best = l
		}
	}
	return best
}

// betterRegionList reports whether list a of a region counts rather than list b of the same region.
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

// router returns a router by address. One that is not alive has no power, which makes it the last
// choice as an aggregator.
func (e *Exchange) router(address string) Router {
	if r, ok := e.byAddress[address]; ok {
		return r
	}
	return Router{Address: address}
}

// bestRegionLists returns the list that counts for each region.
func (e *Exchange) bestRegionLists(now time.Duration) map[string]regionList {
	out := make(map[string]regionList)
	for key := range e.regionLists {
		if _, ok := out[key.region]; !ok {
			out[key.region] = e.bestRegionList(now, key.region)
		}
	}
	return out
}

// addOtherRegions adds the totals of other regions to those of this region.
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

// countedRegionTeams returns the team usage of another region that counts; see countedTeams.
func (e *Exchange) countedRegionTeams(now time.Duration, region string, l regionList) []TeamUse {
	if now-l.receivedAt <= TeamsTTL {
		return l.teams
	}
	if slices.ContainsFunc(e.routers, func(r Router) bool { return r.Region == region }) {
		return nil
	}
	return demandOnly(l.teams)
}

// dropRegions removes the lists of which not even the demand counts any longer.
func (e *Exchange) dropRegions(now time.Duration) {
	maps.DeleteFunc(e.regionLists, func(_ regionKey, l regionList) bool { return now-l.receivedAt > TeamsTTL+DemandTTL })
}

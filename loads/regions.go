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

// regionSilence is how long a router of another region may leave lists unanswered before the
// next one is told too, and how old its list may be before a worse sender's newer list counts
// instead: time for three lists to be lost in a row.
const regionSilence = 4 * TeamsInterval

// regionTold bounds the routers of one region that are told while none of them answers: the
// first of its halls' aggregators, the next one, and a router that may have taken over from
// the first.
const regionTold = 3

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

// takeRegion takes in what another region has and passes it on: a region's aggregator to
// those of its halls, and these to the routers that report to them.
func (e *Exchange) takeRegion(msg ListMsg) {
	if msg.Region == e.self.Region || !e.renewRegion(msg) {
		return
	}
	if _, told := e.asked[msg.From]; msg.Kind == RegionSum && e.gathers() && !told {
		e.dropLoads(msg.Now)
		e.emit(e.regionSum(msg.Now, msg.From, RegionAnswer))
	}
	if e.best(msg.Now, msg.Region).from == msg.From {
		e.passOn(msg)
	}
}

// renewRegion keeps a list that is newer than the last of its region and sender.
func (e *Exchange) renewRegion(msg ListMsg) bool {
	key := regionKey{msg.Region, msg.From}
	if old, ok := e.regions[key]; ok && msg.Number <= old.number {
		return false
	}
	e.regions[key] = regionList{
		list: list{at: msg.Now, number: msg.Number, loads: msg.Loads},
		from: msg.From, teams: msg.Teams, rollouts: msg.Rollouts,
	}
	return true
}

// passOn hands another region's list one step down; no step leads back up, so none goes
// round in a circle.
func (e *Exchange) passOn(msg ListMsg) {
	if !e.gathers() {
		return
	}
	switch msg.Kind {
	case RegionSum, RegionAnswer:
		e.pass(msg, RegionForward, e.neighbours())
		e.pass(msg, RegionDigest, sortedKeys(e.reports))
	case RegionForward:
		e.pass(msg, RegionDigest, sortedKeys(e.reports))
	}
}

func (e *Exchange) pass(msg ListMsg, kind Kind, to []string) {
	for _, r := range to {
		if r != msg.From {
			e.emit(SendCmd{To: r, Kind: kind, Region: msg.Region, Loads: msg.Loads, HasTeams: true, Teams: msg.Teams, Rollouts: msg.Rollouts})
		}
	}
}

// gathers tells whether this router adds up what others have.
func (e *Exchange) gathers() bool { return e.aggregator == e.self.Address || len(e.reports) > 0 }

// leadsRegion tells whether this router is the best of its region, which tells the others.
func (e *Exchange) leadsRegion() bool {
	return !slices.ContainsFunc(e.routers, func(r Router) bool { return r.Region == e.self.Region && before(r, e.self) })
}

// tellRegions sends what this region has to one router of each other region, or to a few
// where the first do not answer.
func (e *Exchange) tellRegions(now time.Duration) {
	before := e.asked
	e.asked = make(map[string]time.Duration)
	if !e.leadsRegion() {
		return
	}
	for _, region := range e.otherRegions() {
		for _, r := range e.candidates(region) {
			since, ok := before[r.Address]
			if !ok {
				since = now
			}
			e.asked[r.Address] = since
			e.emit(e.regionSum(now, r.Address, RegionSum))
			if e.tellsRegion(now, r) || now-since <= regionSilence {
				break
			}
		}
	}
}

// tellsRegion tells whether a router of another region has told of it lately.
func (e *Exchange) tellsRegion(now time.Duration, r Router) bool {
	l, ok := e.regions[regionKey{r.Region, r.Address}]
	return ok && now-l.at <= regionSilence
}

// regionSum is the list of all that this router's region has.
func (e *Exchange) regionSum(now time.Duration, to string, kind Kind) SendCmd {
	return SendCmd{
		To: to, Kind: kind, Region: e.self.Region, Loads: e.allBut(""),
		HasTeams: true, Teams: e.teamsBut(now, ""), Rollouts: e.rolloutsBut(now, ""),
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
		return compare(a, b)
	})
	return out[:min(len(out), regionTold)]
}

// best returns the list of another region that counts: that of the best sender which
// still tells, or else the last one.
func (e *Exchange) best(now time.Duration, region string) regionList {
	var best regionList
	for key, l := range e.regions {
		if key.region == region && (best.from == "" || e.preferred(now, l, best)) {
			best = l
		}
	}
	return best
}

// preferred tells whether a list of a region counts rather than another of the same region.
func (e *Exchange) preferred(now time.Duration, a, b regionList) bool {
	freshA, freshB := now-a.at <= regionSilence, now-b.at <= regionSilence
	switch {
	case freshA != freshB:
		return freshA
	case !freshA && a.at != b.at:
		return a.at > b.at
	}
	return before(e.router(a.from), e.router(b.from))
}

// router returns what is known of a router; one that is not there is no good aggregator.
func (e *Exchange) router(address string) Router {
	if r, ok := e.there[address]; ok {
		return r
	}
	return Router{Address: address}
}

// heldRegions returns the list that counts of each region that was heard of.
func (e *Exchange) heldRegions(now time.Duration) map[string]regionList {
	out := make(map[string]regionList)
	for key := range e.regions {
		if _, ok := out[key.region]; !ok {
			out[key.region] = e.best(now, key.region)
		}
	}
	return out
}

// others says what all others have: those of the region, and what is held of other regions.
func (e *Exchange) others(now time.Duration, near PeerTotalsCmd) PeerTotalsCmd {
	held := e.heldRegions(now)
	if len(held) == 0 {
		return near
	}
	loads, teams, rollouts := [][]Load{near.Loads}, [][]TeamUse{near.Teams}, [][]rollout.Report{near.Rollouts}
	for _, region := range sortedKeys(held) {
		l := held[region]
		teams = append(teams, e.regionTeams(now, region, l))
		if now-l.at <= RegionTTL {
			loads = append(loads, l.loads)
			rollouts = append(rollouts, l.rollouts)
		}
	}
	near.Loads = sum(loads...)
	if near.HasTeams {
		near.Teams, near.Rollouts = sumTeams(teams...), mergeRollouts(rollouts...)
	}
	return near
}

// regionTeams returns what counts of the teams of another region: see counted.
func (e *Exchange) regionTeams(now time.Duration, region string, l regionList) []TeamUse {
	if now-l.at <= TeamsTTL {
		return l.teams
	}
	if slices.ContainsFunc(e.routers, func(r Router) bool { return r.Region == region }) {
		return nil
	}
	return demandOf(l.teams)
}

// dropRegions forgets the lists of which nothing counts any more.
func (e *Exchange) dropRegions(now time.Duration) {
	maps.DeleteFunc(e.regions, func(_ regionKey, l regionList) bool { return now-l.at > TeamsTTL+DemandTTL })
}

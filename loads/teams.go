package loads

import (
	"maps"
	"strings"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

const (
	// TeamsInterval is the time between two lists that carry team usage. It is short enough to
	// adapt shares to a flood of requests through many routers, and costs a few kB per second and
	// router.
	TeamsInterval = 100 * time.Millisecond
	// TeamsTTL is how long such a list counts in full without a newer one; a few may be lost.
	TeamsTTL = 600 * time.Millisecond
	// DemandTTL is how much longer the demand of a lost router's callers counts after TeamsTTL,
	// when what they were served no longer does. It is about the time in which other routers serve
	// these callers again.
	DemandTTL = 4 * time.Second
)

// TeamUse is the recent usage of a team as observed by one or more routers, in tokens per second.
type TeamUse struct {
	Team    string
	Offered float32 // asked for by the team's callers
	Recent  float32 // offered in the last half second
	Served  float32
}

// teamList is the newest list of team usage from one router.
type teamList struct {
	receivedAt time.Duration
	hall       string
	uses       []TeamUse
	rollouts   []rollout.Report
}

// storeTeams stores the team usage of a list, if it carries any.
func storeTeams(lists map[string]teamList, msg ListMsg) {
	if msg.HasTeams {
		lists[msg.From] = teamList{receivedAt: msg.Now, hall: msg.Hall, uses: msg.Teams, rollouts: msg.Rollouts}
	}
}

// reportedTeams returns the team usage of the routers that report to this one, which may include
// itself, except for one router.
func (e *Exchange) reportedTeams(now time.Duration, except string) []TeamUse {
	var lists [][]TeamUse
	for _, from := range sortedKeys(e.teamReports) {
		if from != except {
			lists = append(lists, e.countedTeams(now, from, e.teamReports[from], false))
		}
	}
	if e.includesSelf(except) {
		lists = append(lists, e.ownTeams)
	}
	return sumTeams(lists...)
}

// teamsExcept returns the team usage of all routers of the region except for one.
func (e *Exchange) teamsExcept(now time.Duration, except string) []TeamUse {
	lists := [][]TeamUse{e.reportedTeams(now, except)}
	for _, from := range sortedKeys(e.teamSums) {
		l := e.teamSums[from]
		lists = append(lists, e.countedTeams(now, from, l, e.hasNewerSum(now, from, l.hall)))
	}
	return sumTeams(lists...)
}

// countedTeams returns the part of a list that counts. For TeamsTTL the whole list counts. After
// that, until it is dropped, only its demand counts, because the callers of a lost router are about
// to return through other routers. Two kinds of older lists do not count at all: those of routers
// that are alive, which now report to another aggregator, and those of replaced aggregators, whose
// demand is included in the sums of the next aggregator.
func (e *Exchange) countedTeams(now time.Duration, from string, l teamList, replaced bool) []TeamUse {
	if now-l.receivedAt <= TeamsTTL {
		return l.uses
	}
	if replaced || e.isAlive(from) {
		return nil
	}
	return demandOnly(l.uses)
}

// demandOnly returns the demand of teams, without their other usage.
func demandOnly(uses []TeamUse) []TeamUse {
	out := make([]TeamUse, 0, len(uses))
	for _, u := range uses {
		out = append(out, TeamUse{Team: u.Team, Offered: u.Offered})
	}
	return out
}

// hasNewerSum reports whether another aggregator of a hall has recently sent team usage.
func (e *Exchange) hasNewerSum(now time.Duration, from, hall string) bool {
	for other, l := range e.teamSums {
		if other != from && l.hall == hall && now-l.receivedAt <= TeamsTTL {
			return true
		}
	}
	return false
}

func (e *Exchange) isAlive(address string) bool {
	_, ok := e.byAddress[address]
	return ok
}

// dropTeams removes the lists of which not even the demand counts any longer.
func (e *Exchange) dropTeams(now time.Duration) {
	for _, lists := range []map[string]teamList{e.teamReports, e.teamSums} {
		maps.DeleteFunc(lists, func(_ string, l teamList) bool { return now-l.receivedAt > TeamsTTL+DemandTTL })
	}
}

// sumTeams adds up lists by team.
func sumTeams(lists ...[]TeamUse) []TeamUse {
	return merge(lists, byTeam, func(a *TeamUse, b TeamUse) {
		a.Offered += b.Offered
		a.Recent += b.Recent
		a.Served += b.Served
	})
}

func byTeam(a, b TeamUse) int { return strings.Compare(a.Team, b.Team) }

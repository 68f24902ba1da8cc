package loads

import (
	"maps"
	"strings"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

const (
	// TeamsInterval is the time between two lists that tell of teams: soon enough for the
	// shares of a flood through many routers, at a few kB a second for each router.
	TeamsInterval = 100 * time.Millisecond
	// TeamsTTL is how long such a list counts in full without a newer one: a few may be
	// lost.
	TeamsTTL = 600 * time.Millisecond
	// DemandTTL is how much longer the demand of a lost router's callers counts than what
	// they got: about the time that they take to be served again by others.
	DemandTTL = 4 * time.Second
)

// TeamUse is what one router, or several together, saw of a team lately, in tokens a
// second.
type TeamUse struct {
	Team    string
	Offered float32
	Recent  float32 // offered in the last half second
	Served  float32
}

// teamList is the newest list of teams of one router.
type teamList struct {
	receivedAt time.Duration
	hall       string
	uses       []TeamUse
	rollouts   []rollout.Report
}

// storeTeams takes in what a router tells of teams.
func storeTeams(lists map[string]teamList, msg ListMsg) {
	if msg.HasTeams {
		lists[msg.From] = teamList{receivedAt: msg.Now, hall: msg.Hall, uses: msg.Teams, rollouts: msg.Rollouts}
	}
}

// reportedTeams returns what the routers that report to this one, and this one where it
// reports to itself, see of teams; but for one.
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

// teamsExcept returns what all routers of the region but one see of teams.
func (e *Exchange) teamsExcept(now time.Duration, except string) []TeamUse {
	lists := [][]TeamUse{e.reportedTeams(now, except)}
	for _, from := range sortedKeys(e.teamSums) {
		l := e.teamSums[from]
		lists = append(lists, e.countedTeams(now, from, l, e.hasNewerSum(now, from, l.hall)))
	}
	return sumTeams(lists...)
}

// countedTeams returns what counts of a list: all of it while it is fresh, and then, for some
// time, the demand alone, since the callers of a router that is lost are about to come back
// through others. A router that is still there tells another aggregator, and one that was
// replaced as its hall's aggregator has told its demand to the next.
func (e *Exchange) countedTeams(now time.Duration, from string, l teamList, replaced bool) []TeamUse {
	if now-l.receivedAt <= TeamsTTL {
		return l.uses
	}
	if replaced || e.isAlive(from) {
		return nil
	}
	return demandOnly(l.uses)
}

// demandOnly returns what the callers of teams ask for, without what they get.
func demandOnly(uses []TeamUse) []TeamUse {
	out := make([]TeamUse, 0, len(uses))
	for _, u := range uses {
		out = append(out, TeamUse{Team: u.Team, Offered: u.Offered})
	}
	return out
}

// hasNewerSum tells whether another aggregator of a hall has told its teams lately.
func (e *Exchange) hasNewerSum(now time.Duration, from, hall string) bool {
	for other, l := range e.teamSums {
		if other != from && l.hall == hall && now-l.receivedAt <= TeamsTTL {
			return true
		}
	}
	return false
}

func (e *Exchange) isAlive(address string) bool {
	_, there := e.byAddress[address]
	return there
}

// dropTeams forgets the lists of which nothing counts any more.
func (e *Exchange) dropTeams(now time.Duration) {
	for _, lists := range []map[string]teamList{e.teamReports, e.teamSums} {
		maps.DeleteFunc(lists, func(_ string, l teamList) bool { return now-l.receivedAt > TeamsTTL+DemandTTL })
	}
}

// sumTeams adds up lists, by team.
func sumTeams(lists ...[]TeamUse) []TeamUse {
	return merge(lists, byTeam, func(a *TeamUse, b TeamUse) {
		a.Offered += b.Offered
		a.Recent += b.Recent
		a.Served += b.Served
	})
}

func byTeam(a, b TeamUse) int { return strings.Compare(a.Team, b.Team) }

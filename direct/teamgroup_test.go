package direct

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
)

// totalTokenRate is what all engines of a region test read and make, in tokens a second.
const totalTokenRate = 120_000

// configWithTeamRegions binds teams to regions.
func configWithTeamRegions(teams map[string][]string) Config {
	c := Config{Limits: Limits{TokensPerSecond: totalTokenRate}}
	for name, regions := range teams {
		c.Teams = append(c.Teams, Team{Name: name, Regions: regions})
	}
	return c
}

// setPeerUse has other routers tell of what teams ask for and get.
func (b *harness) setPeerUse(teams ...loads.TeamUse) {
	b.m.Update(PeerTeamsMsg{Now: b.now, Teams: teams})
	b.now += shareInterval
	b.m.updateShares(b.now)
}

// teamBase returns what a team may get of what is configured.
func (b *harness) teamBase(team string) float64 { return b.m.limitsOf(b.m.team(team)).baseLevel }

// TestRegionSharesOfBoundTeams gives a flood that is bound to a quarter of the servers no
// more than these have, and the others the rest.
func TestRegionSharesOfBoundTeams(t *testing.T) {
	b := newRegionBench(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	b.setPeerUse(loads.TeamUse{Team: "bound", Offered: 500_000}, loads.TeamUse{Team: "one", Offered: 500_000}, loads.TeamUse{Team: "two", Offered: 500_000})
	require.InDelta(t, totalTokenRate/4, b.teamBase("bound"), 1)
	require.InDelta(t, totalTokenRate*3/8, b.teamBase("one"), 1)
	require.InDelta(t, totalTokenRate*3/8, b.m.baseLevel, 1)
}

// TestRegionShareOfFewBound gives a bound team beside many that may go anywhere as much as
// each of them, while its region has that.
func TestRegionShareOfFewBound(t *testing.T) {
	b := newRegionBench(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	teams := []loads.TeamUse{{Team: "bound", Offered: 500_000}}
	for i := range 7 {
		teams = append(teams, loads.TeamUse{Team: fmt.Sprint("free", i), Offered: 500_000})
	}
	b.setPeerUse(teams...)
	require.InDelta(t, totalTokenRate/8, b.teamBase("bound"), 1)
	require.InDelta(t, totalTokenRate/8, b.teamBase("free3"), 1)
}

// TestRegionShareWithoutBoundTeams has nobody bound: the levels are waterLevel's to the last
// bit, and there are no groups.
func TestRegionShareWithoutBoundTeams(t *testing.T) {
	b := newRegionBench(t, configWithTeamRegions(map[string][]string{"one": nil}), 2)
	b.setPeerUse(loads.TeamUse{Team: "one", Offered: 33_333}, loads.TeamUse{Team: "two", Offered: 500_000, Served: 1}, loads.TeamUse{Team: "three", Offered: 77_777})
	require.Empty(t, b.m.groups)
	baseLevel := waterLevel([]float64{33_333, 500_000, 77_777}, totalTokenRate)
	require.Equal(t, baseLevel, b.m.baseLevel)
	require.Equal(t, waterLevel([]float64{33_333, 500_000, 77_777}, totalTokenRate*b.m.headroom), b.m.level)
	require.Equal(t, max(evenCapFactor*minServedFraction*baseLevel, min(lenientShareFactor*baseLevel, lenientCapFactor*minServedFraction*baseLevel)), b.m.evenCap)
}

// TestRegionEvenBound has a bound team get a part of what it may: that holds back those
// that share its region, in proportion, and no others.
func TestRegionEvenBound(t *testing.T) {
	b := newRegionBench(t, configWithTeamRegions(map[string][]string{"bound": {"west"}, "near": {"east"}}), 2)
	b.setPeerUse(
		loads.TeamUse{Team: "bound", Offered: 500_000, Served: 0.6 * totalTokenRate / 4},
		loads.TeamUse{Team: "near", Offered: 500_000, Served: 500_000}, loads.TeamUse{Team: "free", Offered: 500_000, Served: 500_000},
	)
	require.InDelta(t, totalTokenRate/4, b.teamBase("bound"), 1)
	evenCap := func(team string) float64 { return b.m.limitsOf(b.m.team(team)).evenCap / b.teamBase(team) }
	require.InDelta(t, lenientCapFactor*0.6, evenCap("bound"), 1e-6)
	require.InDelta(t, lenientCapFactor*0.6, evenCap("free"), 1e-6, "it may use the region too")
	require.True(t, math.IsInf(evenCap("near"), 1), "it may not")
}

// TestRegionWithoutEvenBound switches the even bound off for bound teams too.
func TestRegionWithoutEvenBound(t *testing.T) {
	b := newRegionBench(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	without, err := ParseDisabledMechanisms(string(EvenCap))
	require.NoError(t, err)
	b.m.options.DisabledMechanisms = without
	b.setPeerUse(loads.TeamUse{Team: "bound", Offered: 500_000}, loads.TeamUse{Team: "free", Offered: 500_000})
	require.True(t, math.IsInf(b.m.limitsOf(b.m.team("bound")).evenCap, 1))
}

// TestRegionRestrictionRemoved binds a team by a configuration, and frees it by the next.
func TestRegionRestrictionRemoved(t *testing.T) {
	b := newRegionBench(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	flood := []loads.TeamUse{{Team: "bound", Offered: 500_000}, {Team: "free", Offered: 500_000}}
	b.setPeerUse(flood...)
	require.InDelta(t, totalTokenRate/4, b.teamBase("bound"), 1)
	b.m.Update(ConfigMsg{Now: b.now, Config: configWithTeamRegions(map[string][]string{"bound": nil})})
	b.setPeerUse(flood...)
	require.InDelta(t, totalTokenRate/2, b.teamBase("bound"), 1)
}

// TestRegionShareWithoutServers evacuates the only hall that a team may use, and all halls:
// the others then have everything.
func TestRegionShareWithoutServers(t *testing.T) {
	b := newRegionBench(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	flood := []loads.TeamUse{{Team: "bound", Offered: 500_000}, {Team: "free", Offered: 500_000}}
	b.evacuate(1, "c")
	b.setPeerUse(flood...)
	require.InDelta(t, totalTokenRate, b.teamBase("free"), 1)
	require.Equal(t, minLevel, b.teamBase("bound"))
	b.evacuate(2, "a", "b", "c", "d")
	b.setPeerUse(flood...)
	require.InDelta(t, totalTokenRate, b.teamBase("free"), 1)
}

// TestRegionSharesInState shows operators the levels of bound teams where they differ.
func TestRegionSharesInState(t *testing.T) {
	b := newRegionBench(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	b.setPeerUse(loads.TeamUse{Team: "bound", Offered: 10}, loads.TeamUse{Team: "free", Offered: 10})
	require.Empty(t, b.m.Shares(b.now, 1).Bound)
	b.setPeerUse(loads.TeamUse{Team: "bound", Offered: 5e6}, loads.TeamUse{Team: "free", Offered: 10})
	bound := b.m.Shares(b.now, 1).Bound
	require.Len(t, bound, 1)
	require.Equal(t, []string{"west"}, bound[0].Regions)
	require.InDelta(t, b.m.headroom*totalTokenRate/4, bound[0].Level, 1)
}

// engineSim plays the engines of a bench: each reads one prompt after the other.
type engineSim struct {
	*harness
	tokensPerMS float64 // tokens a millisecond
	idleAt      map[string]time.Duration
	completions []completion // by time
	requests    map[RequestID]Request
	served      map[string]float64 // tokens by team
}

type completion struct {
	at time.Duration
	id RequestID
}

// step lets one tick pass in which teams ask for tokens.
func (w *engineSim) step(rates map[string]float64, bound map[string]Regions, teams []string) {
	w.execute(w.advance(TickInterval))
	for len(w.completions) > 0 && w.completions[0].at <= w.now {
		id := w.completions[0].id
		w.completions = w.completions[1:]
		w.served[w.requests[id].Team] += float64(w.requests[id].PromptTokens)
		w.execute(slices.Clone(w.m.Update(FirstEventMsg{Now: w.now, ID: id})))
		w.execute(w.end(id, Done, false))
	}
	for _, team := range teams {
		const tokens = 400
		for range int(rates[team] * TickInterval.Seconds() / tokens) {
			r := w.request(team)
			r.PromptTokens, r.OutputTokens, r.Regions = tokens, 0, bound[team]
			w.requests[r.ID] = r
			w.execute(w.arrive(r))
		}
	}
}

// execute carries out commands.
func (w *engineSim) execute(cmds []Cmd) {
	for _, c := range cmds {
		c, ok := c.(SendCmd)
		if !ok {
			continue
		}
		server := c.Server.ID
		w.idleAt[server] = max(w.idleAt[server], w.now) + milliseconds(float64(w.requests[c.ID].PromptTokens)/w.tokensPerMS)
		end := completion{at: w.idleAt[server], id: c.ID}
		i := 0
		for i < len(w.completions) && w.completions[i].at <= end.at {
			i++
		}
		w.completions = append(w.completions[:i], append([]completion{end}, w.completions[i:]...)...)
	}
}

// measureServed returns what teams get, in tokens a second, of engines that read as many as
// configured, in a fleet of one router.
func measureServed(t *testing.T, config Config, rates map[string]float64, teams ...string) map[string]float64 {
	const warmUp, measured = 400, 400 // ticks
	w := &engineSim{
		harness: newRegionBench(t, config, 2), tokensPerMS: totalTokenRate / 8 / 1000.0,
		idleAt: make(map[string]time.Duration), requests: make(map[RequestID]Request), served: make(map[string]float64),
	}
	bound := make(map[string]Regions)
	for _, team := range config.Teams {
		bound[team.Name] = RegionsOf(team.Regions)
	}
	for range warmUp {
		w.step(rates, bound, teams)
	}
	clear(w.served)
	for range measured {
		w.step(rates, bound, teams)
	}
	for team := range w.served {
		w.served[team] /= measured * TickInterval.Seconds()
	}
	return w.served
}

// TestRegionBoundFlood has a team that is bound to a quarter of the servers flood them: what
// it can't use goes to another, which is not held back by what the first gets.
func TestRegionBoundFlood(t *testing.T) {
	got := measureServed(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}),
		map[string]float64{"bound": 200_000, "free": 100_000}, "bound", "free")
	require.Greater(t, got["free"], 0.9*totalTokenRate*3/4)
	require.Greater(t, got["bound"], 0.9*totalTokenRate/4)
}

// TestRegionBoundBesideFloods has teams that may go anywhere flood all servers: a bound team
// gets its due all the same.
func TestRegionBoundBesideFloods(t *testing.T) {
	for _, region := range []string{"east", "west"} {
		t.Run(region, func(t *testing.T) {
			got := measureServed(t, configWithTeamRegions(map[string][]string{"bound": {region}}),
				map[string]float64{"bound": 60_000, "one": 200_000, "two": 200_000, "three": 200_000}, "one", "two", "three", "bound")
			require.Greater(t, got["bound"], 0.8*totalTokenRate/4)
		})
	}
}

// TestRegionIndexOverflow numbers more regions than a set tells apart: the last ones
// share a number, and what they have is not lost.
func TestRegionIndexOverflow(t *testing.T) {
	var names []string
	for i := range maxRegions + 10 {
		names = append(names, fmt.Sprintf("region%03d", i))
	}
	index := newRegionIndex([]*teamGroup{{regions: RegionsOf(names)}})
	require.Equal(t, maxRegions, index.size())
	require.Equal(t, 1, index.bitOf(names[0]))
	require.Equal(t, maxRegions-1, index.bitOf(names[len(names)-1]))
	require.Zero(t, index.bitOf("elsewhere"))
	require.Equal(t, ^regionSet(1), index.setOf(RegionsOf(names)))
}

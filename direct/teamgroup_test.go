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

// totalTokenRate is the capacity of all engines in a region test, in tokens per second.
const totalTokenRate = 120_000

// configWithTeamRegions returns a configuration that restricts teams to regions.
func configWithTeamRegions(teams map[string][]string) Config {
	c := Config{Limits: Limits{TokensPerSecond: totalTokenRate}}
	for name, regions := range teams {
		c.Teams = append(c.Teams, Team{Name: name, Regions: regions})
	}
	return c
}

// setPeerUse delivers the demand and use of teams at other routers and updates the shares.
func (h *harness) setPeerUse(teams ...loads.TeamUse) {
	h.m.Update(PeerTeamsMsg{Now: h.now, Teams: teams})
	h.now += shareInterval
	h.m.updateShares(h.now)
}

// teamBase returns a team's share of the configured capacity.
func (h *harness) teamBase(team string) float64 { return h.m.limitsOf(h.m.team(team)).baseLevel }

// TestRegionSharesOfRestrictedTeams checks that a flooding team that is restricted to a quarter
// of the servers gets at most their capacity, and that the other teams get the rest.
func TestRegionSharesOfRestrictedTeams(t *testing.T) {
	h := newRegionHarness(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	h.setPeerUse(loads.TeamUse{Team: "bound", Offered: 500_000}, loads.TeamUse{Team: "one", Offered: 500_000}, loads.TeamUse{Team: "two", Offered: 500_000})
	require.InDelta(t, totalTokenRate/4, h.teamBase("bound"), 1)
	require.InDelta(t, totalTokenRate*3/8, h.teamBase("one"), 1)
	require.InDelta(t, totalTokenRate*3/8, h.m.baseLevel, 1)
}

// TestRegionShareOfFewRestricted checks that a restricted team gets as much as each of many
// unrestricted ones, as long as its region has the capacity.
func TestRegionShareOfFewRestricted(t *testing.T) {
	h := newRegionHarness(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	teams := []loads.TeamUse{{Team: "bound", Offered: 500_000}}
	for i := range 7 {
		teams = append(teams, loads.TeamUse{Team: fmt.Sprint("free", i), Offered: 500_000})
	}
	h.setPeerUse(teams...)
	require.InDelta(t, totalTokenRate/8, h.teamBase("bound"), 1)
	require.InDelta(t, totalTokenRate/8, h.teamBase("free3"), 1)
}

// TestRegionShareWithoutRestrictedTeams checks that without restricted teams there are no groups,
// and that the levels equal those of waterLevel exactly.
func TestRegionShareWithoutRestrictedTeams(t *testing.T) {
	h := newRegionHarness(t, configWithTeamRegions(map[string][]string{"one": nil}), 2)
	h.setPeerUse(loads.TeamUse{Team: "one", Offered: 33_333}, loads.TeamUse{Team: "two", Offered: 500_000, Served: 1}, loads.TeamUse{Team: "three", Offered: 77_777})
	require.Empty(t, h.m.groups)
	baseLevel := waterLevel([]float64{33_333, 500_000, 77_777}, totalTokenRate)
	require.Equal(t, baseLevel, h.m.baseLevel)
	require.Equal(t, waterLevel([]float64{33_333, 500_000, 77_777}, totalTokenRate*h.m.headroom), h.m.level)
	require.Equal(t, max(evenCapFactor*minServedFraction*baseLevel, min(lenientShareFactor*baseLevel, lenientCapFactor*minServedFraction*baseLevel)), h.m.evenCap)
}

// TestRegionEvenCap serves a restricted team less than its share. Teams that may use its region
// must be capped in proportion, and other teams must not.
func TestRegionEvenCap(t *testing.T) {
	h := newRegionHarness(t, configWithTeamRegions(map[string][]string{"bound": {"west"}, "near": {"east"}}), 2)
	h.setPeerUse(
		loads.TeamUse{Team: "bound", Offered: 500_000, Served: 0.6 * totalTokenRate / 4},
		loads.TeamUse{Team: "near", Offered: 500_000, Served: 500_000}, loads.TeamUse{Team: "free", Offered: 500_000, Served: 500_000},
	)
	require.InDelta(t, totalTokenRate/4, h.teamBase("bound"), 1)
	evenCap := func(team string) float64 { return h.m.limitsOf(h.m.team(team)).evenCap / h.teamBase(team) }
	require.InDelta(t, lenientCapFactor*0.6, evenCap("bound"), 1e-6)
	require.InDelta(t, lenientCapFactor*0.6, evenCap("free"), 1e-6, "may use the region as well")
	require.True(t, math.IsInf(evenCap("near"), 1), "may not use the region")
}

// TestRegionWithoutEvenCap checks that switching the even cap off also applies to restricted
// teams.
func TestRegionWithoutEvenCap(t *testing.T) {
	h := newRegionHarness(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	without, err := ParseDisabledMechanisms(string(EvenCap))
	require.NoError(t, err)
	h.m.options.DisabledMechanisms = without
	h.setPeerUse(loads.TeamUse{Team: "bound", Offered: 500_000}, loads.TeamUse{Team: "free", Offered: 500_000})
	require.True(t, math.IsInf(h.m.limitsOf(h.m.team("bound")).evenCap, 1))
}

// TestRegionRestrictionRemoved restricts a team by one configuration and removes the
// restriction by the next.
func TestRegionRestrictionRemoved(t *testing.T) {
	h := newRegionHarness(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	flood := []loads.TeamUse{{Team: "bound", Offered: 500_000}, {Team: "free", Offered: 500_000}}
	h.setPeerUse(flood...)
	require.InDelta(t, totalTokenRate/4, h.teamBase("bound"), 1)
	h.m.Update(ConfigMsg{Now: h.now, Config: configWithTeamRegions(map[string][]string{"bound": nil})})
	h.setPeerUse(flood...)
	require.InDelta(t, totalTokenRate/2, h.teamBase("bound"), 1)
}

// TestRegionShareWithoutServers evacuates the only hall that a team may use, and then all
// halls. The other team must then have the whole capacity.
func TestRegionShareWithoutServers(t *testing.T) {
	h := newRegionHarness(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	flood := []loads.TeamUse{{Team: "bound", Offered: 500_000}, {Team: "free", Offered: 500_000}}
	h.evacuate(1, "c")
	h.setPeerUse(flood...)
	require.InDelta(t, totalTokenRate, h.teamBase("free"), 1)
	require.Equal(t, minLevel, h.teamBase("bound"))
	h.evacuate(2, "a", "b", "c", "d")
	h.setPeerUse(flood...)
	require.InDelta(t, totalTokenRate, h.teamBase("free"), 1)
}

// TestRegionSharesInState checks that the dumped shares include the levels of restricted teams
// if they differ.
func TestRegionSharesInState(t *testing.T) {
	h := newRegionHarness(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}), 2)
	h.setPeerUse(loads.TeamUse{Team: "bound", Offered: 10}, loads.TeamUse{Team: "free", Offered: 10})
	require.Empty(t, h.m.Shares(h.now, 1).Bound)
	h.setPeerUse(loads.TeamUse{Team: "bound", Offered: 5e6}, loads.TeamUse{Team: "free", Offered: 10})
	bound := h.m.Shares(h.now, 1).Bound
	require.Len(t, bound, 1)
	require.Equal(t, []string{"west"}, bound[0].Regions)
	require.InDelta(t, h.m.headroom*totalTokenRate/4, bound[0].Level, 1)
}

// engineSim simulates the engines of a harness. Each reads one prompt after the other.
type engineSim struct {
	*harness
	tokensPerMS float64 // of one engine
	idleAt      map[string]time.Duration
	completions []completion // by time
	requests    map[RequestID]Request
	served      map[string]float64 // tokens by team
}

type completion struct {
	at time.Duration
	id RequestID
}

// step advances one tick, in which each team asks for tokens at its rate.
func (sim *engineSim) step(rates map[string]float64, regions map[string]Regions, teams []string) {
	sim.execute(sim.advance(TickInterval))
	for len(sim.completions) > 0 && sim.completions[0].at <= sim.now {
		id := sim.completions[0].id
		sim.completions = sim.completions[1:]
		sim.served[sim.requests[id].Team] += float64(sim.requests[id].PromptTokens)
		sim.execute(slices.Clone(sim.m.Update(FirstEventMsg{Now: sim.now, ID: id})))
		sim.execute(sim.end(id, Done, false))
	}
	for _, team := range teams {
		const tokens = 400
		for range int(rates[team] * TickInterval.Seconds() / tokens) {
			r := sim.request(team)
			r.PromptTokens, r.OutputTokens, r.Regions = tokens, 0, regions[team]
			sim.requests[r.ID] = r
			sim.execute(sim.arrive(r))
		}
	}
}

// execute carries out the SendCmds.
func (sim *engineSim) execute(cmds []Cmd) {
	for _, c := range cmds {
		c, ok := c.(SendCmd)
		if !ok {
			continue
		}
		server := c.Server.ID
		sim.idleAt[server] = max(sim.idleAt[server], sim.now) + milliseconds(float64(sim.requests[c.ID].PromptTokens)/sim.tokensPerMS)
		end := completion{at: sim.idleAt[server], id: c.ID}
		i := 0
		for i < len(sim.completions) && sim.completions[i].at <= end.at {
			i++
		}
		sim.completions = append(sim.completions[:i], append([]completion{end}, sim.completions[i:]...)...)
	}
}

// measureServed returns what teams get, in tokens per second, in a fleet of one router with
// engines of the configured capacity.
func measureServed(t *testing.T, config Config, rates map[string]float64, teams ...string) map[string]float64 {
	const warmUp, measured = 400, 400 // ticks
	sim := &engineSim{
		harness: newRegionHarness(t, config, 2), tokensPerMS: totalTokenRate / 8 / 1000.0,
		idleAt: make(map[string]time.Duration), requests: make(map[RequestID]Request), served: make(map[string]float64),
	}
	regions := make(map[string]Regions)
	for _, team := range config.Teams {
		regions[team.Name] = RegionsOf(team.Regions)
	}
	for range warmUp {
		sim.step(rates, regions, teams)
	}
	clear(sim.served)
	for range measured {
		sim.step(rates, regions, teams)
	}
	for team := range sim.served {
		sim.served[team] /= measured * TickInterval.Seconds()
	}
	return sim.served
}

// TestRegionRestrictedFlood floods a quarter of the servers for a team that is restricted to them.
// Capacity that it can't use must go to another team, which must not be capped by what the
// first gets.
func TestRegionRestrictedFlood(t *testing.T) {
	got := measureServed(t, configWithTeamRegions(map[string][]string{"bound": {"west"}}),
		map[string]float64{"bound": 200_000, "free": 100_000}, "bound", "free")
	require.Greater(t, got["free"], 0.9*totalTokenRate*3/4)
	require.Greater(t, got["bound"], 0.9*totalTokenRate/4)
}

// TestRegionRestrictedBesideFloods floods all servers for unrestricted teams. A restricted team
// must still get its share.
func TestRegionRestrictedBesideFloods(t *testing.T) {
	for _, region := range []string{"east", "west"} {
		t.Run(region, func(t *testing.T) {
			got := measureServed(t, configWithTeamRegions(map[string][]string{"bound": {region}}),
				map[string]float64{"bound": 60_000, "one": 200_000, "two": 200_000, "three": 200_000}, "one", "two", "three", "bound")
			require.Greater(t, got["bound"], 0.8*totalTokenRate/4)
		})
	}
}

// TestRegionIndexOverflow numbers more regions than a set can distinguish. The last ones must
// share a number, so that their capacity still counts.
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

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

// tokensOfAll is what all engines of a region test read and make, in tokens a second.
const tokensOfAll = 120_000

// boundConfig binds teams to regions.
func boundConfig(teams map[string][]string) Config {
	c := Config{Limits: Limits{TokensPerSecond: tokensOfAll}}
	for name, regions := range teams {
		c.Teams = append(c.Teams, Team{Name: name, Regions: regions})
	}
	return c
}

// offer has other routers tell of what teams ask for and get.
func (b *bench) offer(teams ...loads.TeamUse) {
	b.m.Update(PeerTeamsMsg{Now: b.now, Teams: teams})
	b.now += shareEvery
	b.m.share(b.now)
}

// most returns what a team may get of what is configured.
func (b *bench) most(team string) float64 { return b.m.boundsOf(b.m.team(team)).base }

// TestRegionSharesOfBoundTeams gives a flood that is bound to a quarter of the servers no
// more than these have, and the others the rest.
func TestRegionSharesOfBoundTeams(t *testing.T) {
	b := newRegionBench(t, boundConfig(map[string][]string{"bound": {"west"}}), 2)
	b.offer(loads.TeamUse{Team: "bound", Offered: 500_000}, loads.TeamUse{Team: "one", Offered: 500_000}, loads.TeamUse{Team: "two", Offered: 500_000})
	require.InDelta(t, tokensOfAll/4, b.most("bound"), 1)
	require.InDelta(t, tokensOfAll*3/8, b.most("one"), 1)
	require.InDelta(t, tokensOfAll*3/8, b.m.base, 1)
}

// TestRegionShareOfFewBound gives a bound team beside many that may go anywhere as much as
// each of them, while its region has that.
func TestRegionShareOfFewBound(t *testing.T) {
	b := newRegionBench(t, boundConfig(map[string][]string{"bound": {"west"}}), 2)
	teams := []loads.TeamUse{{Team: "bound", Offered: 500_000}}
	for i := range 7 {
		teams = append(teams, loads.TeamUse{Team: fmt.Sprint("free", i), Offered: 500_000})
	}
	b.offer(teams...)
	require.InDelta(t, tokensOfAll/8, b.most("bound"), 1)
	require.InDelta(t, tokensOfAll/8, b.most("free3"), 1)
}

// TestRegionShareUnboundAsBefore has nobody bound: the levels are waterLevel's to the last
// bit, and there are no groups.
func TestRegionShareUnboundAsBefore(t *testing.T) {
	b := newRegionBench(t, boundConfig(map[string][]string{"one": nil}), 2)
	b.offer(loads.TeamUse{Team: "one", Offered: 33_333}, loads.TeamUse{Team: "two", Offered: 500_000, Served: 1}, loads.TeamUse{Team: "three", Offered: 77_777})
	require.Empty(t, b.m.groups)
	base := waterLevel([]float64{33_333, 500_000, 77_777}, tokensOfAll)
	require.Equal(t, base, b.m.base)
	require.Equal(t, waterLevel([]float64{33_333, 500_000, 77_777}, tokensOfAll*b.m.headroom), b.m.level)
	require.Equal(t, max(evenWithin*leastEven*base, min(evenShares*base, shareWithin*leastEven*base)), b.m.even)
}

// TestRegionEvenBound has a bound team get a part of what it may: that holds back those
// that share its region, in proportion, and no others.
func TestRegionEvenBound(t *testing.T) {
	b := newRegionBench(t, boundConfig(map[string][]string{"bound": {"west"}, "near": {"east"}}), 2)
	b.offer(
		loads.TeamUse{Team: "bound", Offered: 500_000, Served: 0.6 * tokensOfAll / 4},
		loads.TeamUse{Team: "near", Offered: 500_000, Served: 500_000}, loads.TeamUse{Team: "free", Offered: 500_000, Served: 500_000},
	)
	require.InDelta(t, tokensOfAll/4, b.most("bound"), 1)
	even := func(team string) float64 { return b.m.boundsOf(b.m.team(team)).even / b.most(team) }
	require.InDelta(t, shareWithin*0.6, even("bound"), 1e-6)
	require.InDelta(t, shareWithin*0.6, even("free"), 1e-6, "it may use the region too")
	require.True(t, math.IsInf(even("near"), 1), "it may not")
}

// TestRegionWithoutEvenBound switches the even bound off for bound teams too.
func TestRegionWithoutEvenBound(t *testing.T) {
	b := newRegionBench(t, boundConfig(map[string][]string{"bound": {"west"}}), 2)
	without, err := ParseDisabledMechanisms(string(EvenCap))
	require.NoError(t, err)
	b.m.options.DisabledMechanisms = without
	b.offer(loads.TeamUse{Team: "bound", Offered: 500_000}, loads.TeamUse{Team: "free", Offered: 500_000})
	require.True(t, math.IsInf(b.m.boundsOf(b.m.team("bound")).even, 1))
}

// TestRegionLoosened binds a team by a configuration, and frees it by the next.
func TestRegionLoosened(t *testing.T) {
	b := newRegionBench(t, boundConfig(map[string][]string{"bound": {"west"}}), 2)
	flood := []loads.TeamUse{{Team: "bound", Offered: 500_000}, {Team: "free", Offered: 500_000}}
	b.offer(flood...)
	require.InDelta(t, tokensOfAll/4, b.most("bound"), 1)
	b.m.Update(ConfigMsg{Now: b.now, Config: boundConfig(map[string][]string{"bound": nil})})
	b.offer(flood...)
	require.InDelta(t, tokensOfAll/2, b.most("bound"), 1)
}

// TestRegionShareWithoutServers evacuates the only hall that a team may use, and all halls:
// the others then have everything.
func TestRegionShareWithoutServers(t *testing.T) {
	b := newRegionBench(t, boundConfig(map[string][]string{"bound": {"west"}}), 2)
	flood := []loads.TeamUse{{Team: "bound", Offered: 500_000}, {Team: "free", Offered: 500_000}}
	b.evacuate(1, "c")
	b.offer(flood...)
	require.InDelta(t, tokensOfAll, b.most("free"), 1)
	require.Equal(t, leastLevel, b.most("bound"))
	b.evacuate(2, "a", "b", "c", "d")
	b.offer(flood...)
	require.InDelta(t, tokensOfAll, b.most("free"), 1)
}

// TestRegionSharesShown shows operators the levels of bound teams where they differ.
func TestRegionSharesShown(t *testing.T) {
	b := newRegionBench(t, boundConfig(map[string][]string{"bound": {"west"}}), 2)
	b.offer(loads.TeamUse{Team: "bound", Offered: 10}, loads.TeamUse{Team: "free", Offered: 10})
	require.Empty(t, b.m.Shares(b.now, 1).Bound)
	b.offer(loads.TeamUse{Team: "bound", Offered: 5e6}, loads.TeamUse{Team: "free", Offered: 10})
	bound := b.m.Shares(b.now, 1).Bound
	require.Len(t, bound, 1)
	require.Equal(t, []string{"west"}, bound[0].Regions)
	require.InDelta(t, b.m.headroom*tokensOfAll/4, bound[0].Level, 1)
}

// work plays the engines of a bench: each reads one prompt after the other.
type work struct {
	*bench
	rate   float64 // tokens a millisecond
	freeAt map[string]time.Duration
	ends   []workEnd // by time
	asked  map[RequestID]Request
	served map[string]float64 // tokens by team
}

type workEnd struct {
	at time.Duration
	id RequestID
}

// step lets one tick pass in which teams ask for tokens.
func (w *work) step(rates map[string]float64, bound map[string]Regions, teams []string) {
	w.take(w.pass(TickInterval))
	for len(w.ends) > 0 && w.ends[0].at <= w.now {
		id := w.ends[0].id
		w.ends = w.ends[1:]
		w.served[w.asked[id].Team] += float64(w.asked[id].PromptTokens)
		w.take(slices.Clone(w.m.Update(FirstEventMsg{Now: w.now, ID: id})))
		w.take(w.end(id, Done, false))
	}
	for _, team := range teams {
		const tokens = 400
		for range int(rates[team] * TickInterval.Seconds() / tokens) {
			r := w.request(team)
			r.PromptTokens, r.OutputTokens, r.Regions = tokens, 0, bound[team]
			w.asked[r.ID] = r
			w.take(w.arrive(r))
		}
	}
}

// take carries out commands.
func (w *work) take(cmds []Cmd) {
	for _, c := range cmds {
		c, ok := c.(SendCmd)
		if !ok {
			continue
		}
		server := c.Server.ID
		w.freeAt[server] = max(w.freeAt[server], w.now) + milliseconds(float64(w.asked[c.ID].PromptTokens)/w.rate)
		end := workEnd{at: w.freeAt[server], id: c.ID}
		i := 0
		for i < len(w.ends) && w.ends[i].at <= end.at {
			i++
		}
		w.ends = append(w.ends[:i], append([]workEnd{end}, w.ends[i:]...)...)
	}
}

// gets returns what teams get, in tokens a second, of engines that read as many as
// configured, in a fleet of one router.
func gets(t *testing.T, config Config, rates map[string]float64, teams ...string) map[string]float64 {
	const warmUp, measured = 400, 400 // ticks
	w := &work{
		bench: newRegionBench(t, config, 2), rate: tokensOfAll / 8 / 1000.0,
		freeAt: make(map[string]time.Duration), asked: make(map[RequestID]Request), served: make(map[string]float64),
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
	got := gets(t, boundConfig(map[string][]string{"bound": {"west"}}),
		map[string]float64{"bound": 200_000, "free": 100_000}, "bound", "free")
	require.Greater(t, got["free"], 0.9*tokensOfAll*3/4)
	require.Greater(t, got["bound"], 0.9*tokensOfAll/4)
}

// TestRegionBoundBesideFloods has teams that may go anywhere flood all servers: a bound team
// gets its due all the same.
func TestRegionBoundBesideFloods(t *testing.T) {
	for _, region := range []string{"east", "west"} {
		t.Run(region, func(t *testing.T) {
			got := gets(t, boundConfig(map[string][]string{"bound": {region}}),
				map[string]float64{"bound": 60_000, "one": 200_000, "two": 200_000, "three": 200_000}, "one", "two", "three", "bound")
			require.Greater(t, got["bound"], 0.8*tokensOfAll/4)
		})
	}
}

// TestRegionIndexBeyondItsSize numbers more regions than a set tells apart: the last ones
// share a number, and what they have is not lost.
func TestRegionIndexBeyondItsSize(t *testing.T) {
	var names []string
	for i := range regionsMost + 10 {
		names = append(names, fmt.Sprintf("region%03d", i))
	}
	index := newRegionIndex([]*teamGroup{{regions: RegionsOf(names)}})
	require.Equal(t, regionsMost, index.size())
	require.Equal(t, 1, index.numberOf(names[0]))
	require.Equal(t, regionsMost-1, index.numberOf(names[len(names)-1]))
	require.Zero(t, index.numberOf("elsewhere"))
	require.Equal(t, ^regionSet(1), index.setOf(RegionsOf(names)))
}

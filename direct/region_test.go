package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newRegionBench returns a router of hall a in region east, with engines in the halls a and
// b of that region, c of region west, and d, whose region is not known.
func newRegionBench(t *testing.T, config Config, each int) *harness {
	b := &harness{t: t, now: 3 * time.Second, m: NewMachine(Options{
		Zone: "a", Region: "east", HallRegions: map[string]string{"a": "east", "b": "east", "c": "west"},
		RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 10, Window: 10 * time.Second},
	})}
	config.Services = []Service{{Name: "llm", Engine: &Engine{Slots: 48, KVTokens: 900_000}}}
	b.m.Update(ConfigMsg{Now: b.now, Config: config})
	d := Directory{Revision: 1}
	for _, hall := range []string{"a", "b", "c", "d"} {
		for i := range each {
			d.Servers = append(d.Servers, Server{ID: fmt.Sprint(hall, i), Service: "llm", Zone: hall, Slots: 48})
		}
	}
	b.m.Update(ServersMsg{Now: b.now, Directory: d})
	return b
}

// in returns a request that may be served in some regions.
func (b *harness) requestIn(regions ...string) Request {
	r := b.request("red", PromptPart{ID: 1, Tokens: 1000}, PromptPart{ID: 1 << 20, Tokens: 1000})
	r.Regions = RegionsOf(regions)
	return r
}

func (b *harness) refused(cmds []Cmd) Reason {
	b.t.Helper()
	refuse, ok := findCmd[RefuseCmd](cmds)
	require.True(b.t, ok, "%v", cmds)
	return refuse.Reason
}

// TestRegionRefusedAtOnce refuses what no server of its regions may get, and says whether
// that is because of the regions.
func TestRegionRefusedAtOnce(t *testing.T) {
	b := newRegionBench(t, Config{}, 1)
	require.Equal(t, ReasonRegion, b.refused(b.arrive(b.requestIn("north"))))
	b.evacuate(1, "c")
	require.Equal(t, ReasonRegion, b.refused(b.arrive(b.requestIn("west"))))
	b.evacuate(2, "a", "b", "c", "d")
	require.Equal(t, ReasonNoServers, b.refused(b.arrive(b.requestIn("west"))))
	require.Equal(t, ReasonNoServers, b.refused(b.arrive(b.requestIn())))
}

// TestRegionNoneInCommon refuses a request whose route and team have no region in common
// before its body is read.
func TestRegionNoneInCommon(t *testing.T) {
	b := newRegionBench(t, Config{}, 1)
	r := b.requestIn()
	r.Regions = RegionsOf([]string{"east"}, []string{"west"})
	require.Equal(t, ReasonRegion, b.refused(b.arrive(r)))
	require.Equal(t, ReasonRegion, b.refused(b.m.Update(AdmissionCheckMsg{Now: b.now, Request: r})))
	require.Empty(t, b.m.Update(AdmissionCheckMsg{Now: b.now, Request: b.requestIn("east")}))
}

// TestRegionRefusedWhileItWaits has the last server of a waiting request's regions go.
func TestRegionRefusedWhileItWaits(t *testing.T) {
	b := newRegionBench(t, Config{}, 1)
	for range 100 {
		b.arrive(b.requestIn("west"))
	}
	require.NotEmpty(t, b.m.pool("llm").queue.waiting)
	require.Equal(t, ReasonRegion, b.refused(b.evacuate(1, "c")))
	require.Empty(t, b.m.pool("llm").queue.waiting)
}

// TestRegionUnknownHall keeps bound requests from a hall whose region is not known, until
// the settings name it; others may go there.
func TestRegionUnknownHall(t *testing.T) {
	b := newRegionBench(t, Config{}, 1)
	b.evacuate(1, "a", "b", "c")
	require.Equal(t, "d0", b.sent(b.arrive(b.requestIn())))
	require.Equal(t, ReasonRegion, b.refused(b.arrive(b.requestIn("west", "east"))))
	b.m.Update(HallRegionsMsg{Now: b.now, Halls: map[string]string{"d": "west"}})
	require.Equal(t, "d0", b.sent(b.arrive(b.requestIn("west"))))
}

// TestRegionHomeOutside has a part whose first holder lies outside of a request's regions:
// the server inside that ranks first counts as the one to keep the part there.
func TestRegionHolderOutside(t *testing.T) {
	b := newRegionBench(t, Config{}, 3)
	p := b.m.pool("llm")
	for part := range uint64(40) {
		unrestricted, restricted := &requestState{Request: b.requestIn()}, &requestState{Request: b.requestIn("west")}
		unrestricted.Parts[0].ID, restricted.Parts[0].ID = part, part
		inside := b.m.preferredServer(b.now, p, restricted)
		require.Equal(t, "c", inside.Zone)
		b.m.partHolders.record(b.now, part, "a0")
		require.Equal(t, "a0", b.m.preferredServer(b.now, p, unrestricted).ID)
		require.Equal(t, inside, b.m.preferredServer(b.now, p, restricted), "what is kept outside is of no use")
	}
}

// TestRegionRetryStaysInside breaks attempts one after the other: the next ones stay inside,
// and there is none where all servers inside have been tried.
func TestRegionRetryStaysInside(t *testing.T) {
	b := newRegionBench(t, Config{}, 2)
	r := b.requestIn("west")
	r.Attempts = 5
	first := b.sent(b.arrive(r))
	second := b.sent(b.end(r.ID, Broken, true))
	require.ElementsMatch(t, []string{"c0", "c1"}, []string{first, second})
	cmds := append(b.end(r.ID, Broken, true), b.advance(r.Objective)...)
	_, sent := findCmd[SendCmd](cmds)
	require.False(t, sent)
	_, failed := findCmd[FailCmd](cmds)
	require.True(t, failed)
}

// TestRegionLastResortInside sends to a server that leaves where no other of the regions is
// known, though others outside stay, and never to one that leaves outside.
func TestRegionLastResortInside(t *testing.T) {
	b := newRegionBench(t, Config{}, 1)
	list := func(revision uint64, draining ...string) {
		d := Directory{Revision: revision}
		for _, hall := range []string{"a", "b", "c"} {
			d.Servers = append(d.Servers, Server{ID: hall + "0", Service: "llm", Zone: hall, Slots: 48, Draining: slices.Contains(draining, hall)})
		}
		b.m.Update(ServersMsg{Now: b.now, Directory: d})
	}
	list(2, "c")
	require.Equal(t, "c0", b.sent(b.arrive(b.requestIn("west"))))
	list(3, "a", "b", "c")
	require.Contains(t, []string{"a0", "b0"}, b.sent(b.arrive(b.requestIn("east"))))
	require.Equal(t, ReasonNoServers, b.refused(b.arrive(b.requestIn("north"))))
}

// TestRegionComeBack tells a bound caller to come back when the servers inside have room,
// whatever those outside have to do.
func TestRegionComeBack(t *testing.T) {
	after := func(busy string) time.Duration {
		b := newRegionBench(t, Config{}, 1)
		b.m.byServer[busy].pendingTokens = 1_000_000
		r := &requestState{Request: b.requestIn("west")}
		r.ID = 1
		return b.m.retryAfter(b.now, b.m.pool("llm"), r, ReasonOverload)
	}
	require.Greater(t, after("c0"), 5*time.Second)
	require.Less(t, after("a0"), time.Second)
}

// TestRegionDistance has three tiers where more than one region is known, and two where not.
func TestRegionDistance(t *testing.T) {
	b := newRegionBench(t, Config{}, 1)
	distances := func() []float64 {
		var out []float64
		for _, id := range []string{"a0", "b0", "c0", "d0"} {
			out = append(out, b.m.distance(b.m.byServer[id]))
		}
		return out
	}
	require.Equal(t, []float64{0, zoneCost, regionCost, regionCost}, distances())
	b.m.Update(HallRegionsMsg{Now: b.now, Halls: map[string]string{"a": "east", "b": "east"}})
	require.Equal(t, []float64{0, zoneCost, zoneCost, zoneCost}, distances())
	b.m.Update(HallRegionsMsg{Now: b.now})
	require.Equal(t, []float64{0, zoneCost, zoneCost, zoneCost}, distances())
}

// TestRegionOfRouter takes the router's region from its hall's where its own is not given.
func TestRegionOfRouter(t *testing.T) {
	g := newHallRegions("", "a", map[string]string{"a": "east", "c": "west"})
	require.True(t, g.isLocal("east"))
	require.False(t, g.isLocal("west"))
	require.False(t, g.isLocal(""))
}

// TestRegionNearerFirst sends what is alike everywhere to the own region while it has room,
// and to others when it has none.
func TestRegionNearerFirst(t *testing.T) {
	b := newRegionBench(t, Config{}, 1)
	b.evacuate(1, "d")
	halls := make(map[string]int)
	for range 120 {
		r := b.request("red")
		r.PromptTokens = 10
		halls[b.sent(b.arrive(r))]++
		if halls["a0"]+halls["b0"] <= 12 {
			require.Zero(t, halls["c0"])
		}
	}
	require.Positive(t, halls["c0"])
}

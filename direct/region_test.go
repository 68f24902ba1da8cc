package direct

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newRegionHarness returns a router of hall a in region east, with engines in halls a and b of
// that region, c of region west, and d, whose region is unknown.
func newRegionHarness(t *testing.T, config Config, each int) *harness {
	h := &harness{t: t, now: 3 * time.Second, m: NewMachine(Options{
		Zone: "a", Region: "east", HallRegions: map[string]string{"a": "east", "b": "east", "c": "west"},
		RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 10, Window: 10 * time.Second},
	})}
	config.Services = []Service{{Name: "llm", Engine: &Engine{Slots: 48, KVTokens: 900_000}}}
	h.m.Update(ConfigMsg{Now: h.now, Config: config})
	d := Directory{Revision: 1}
	for _, hall := range []string{"a", "b", "c", "d"} {
		for i := range each {
			d.Servers = append(d.Servers, Server{ID: fmt.Sprint(hall, i), Service: "llm", Zone: hall, Slots: 48})
		}
	}
	h.m.Update(ServersMsg{Now: h.now, Directory: d})
	return h
}

// requestIn returns a request that may be served in some regions.
func (h *harness) requestIn(regions ...string) Request {
	r := h.request("red", PromptPart{ID: 1, Tokens: 1000}, PromptPart{ID: 1 << 20, Tokens: 1000})
	r.Regions = RegionsOf(regions)
	return r
}

func (h *harness) refused(cmds []Cmd) Reason {
	h.t.Helper()
	refuse, ok := findCmd[RefuseCmd](cmds)
	require.True(h.t, ok, "%v", cmds)
	return refuse.Reason
}

// TestRegionRefusedAtOnce checks that requests without an available server in their regions are
// refused at once, with the region as the reason only if servers elsewhere are available.
func TestRegionRefusedAtOnce(t *testing.T) {
	h := newRegionHarness(t, Config{}, 1)
	require.Equal(t, ReasonRegion, h.refused(h.arrive(h.requestIn("north"))))
	h.evacuate(1, "c")
	require.Equal(t, ReasonRegion, h.refused(h.arrive(h.requestIn("west"))))
	h.evacuate(2, "a", "b", "c", "d")
	require.Equal(t, ReasonNoServers, h.refused(h.arrive(h.requestIn("west"))))
	require.Equal(t, ReasonNoServers, h.refused(h.arrive(h.requestIn())))
}

// TestRegionNoneInCommon checks that a request whose route and team have no common region is
// refused before its body is read.
func TestRegionNoneInCommon(t *testing.T) {
	h := newRegionHarness(t, Config{}, 1)
	r := h.requestIn()
	r.Regions = RegionsOf([]string{"east"}, []string{"west"})
	require.Equal(t, ReasonRegion, h.refused(h.arrive(r)))
	require.Equal(t, ReasonRegion, h.refused(h.m.Update(AdmissionCheckMsg{Now: h.now, Request: r})))
	require.Empty(t, h.m.Update(AdmissionCheckMsg{Now: h.now, Request: h.requestIn("east")}))
}

// TestRegionRefusedWhileItWaits removes the last server of a queued request's regions.
func TestRegionRefusedWhileItWaits(t *testing.T) {
	h := newRegionHarness(t, Config{}, 1)
	for range 100 {
		h.arrive(h.requestIn("west"))
	}
	require.NotEmpty(t, h.m.pool("llm").queue.waiting)
	require.Equal(t, ReasonRegion, h.refused(h.evacuate(1, "c")))
	require.Empty(t, h.m.pool("llm").queue.waiting)
}

// TestRegionUnknownHall checks that a hall of unknown region gets no restricted requests until
// the settings name its region. Other requests may go there.
func TestRegionUnknownHall(t *testing.T) {
	h := newRegionHarness(t, Config{}, 1)
	h.evacuate(1, "a", "b", "c")
	require.Equal(t, "d0", h.sent(h.arrive(h.requestIn())))
	require.Equal(t, ReasonRegion, h.refused(h.arrive(h.requestIn("west", "east"))))
	h.m.Update(HallRegionsMsg{Now: h.now, Halls: map[string]string{"d": "west"}})
	require.Equal(t, "d0", h.sent(h.arrive(h.requestIn("west"))))
}

// TestRegionHolderOutside has a prompt part whose first holder is outside a request's regions:
// the server that ranks first inside counts as the part's holder there.
func TestRegionHolderOutside(t *testing.T) {
	h := newRegionHarness(t, Config{}, 3)
	p := h.m.pool("llm")
	for part := range uint64(40) {
		unrestricted, restricted := &requestState{Request: h.requestIn()}, &requestState{Request: h.requestIn("west")}
		unrestricted.Parts[0].ID, restricted.Parts[0].ID = part, part
		inside := h.m.preferredServer(h.now, p, restricted)
		require.Equal(t, "c", inside.Zone)
		h.m.partHolders.record(h.now, part, "a0")
		require.Equal(t, "a0", h.m.preferredServer(h.now, p, unrestricted).ID)
		require.Equal(t, inside, h.m.preferredServer(h.now, p, restricted), "a holder outside the regions must not count")
	}
}

// TestRegionRetryStaysInside breaks attempts one after the other: retries stay inside the
// regions, and there is none once all servers inside have been tried.
func TestRegionRetryStaysInside(t *testing.T) {
	h := newRegionHarness(t, Config{}, 2)
	r := h.requestIn("west")
	r.Attempts = 5
	first := h.sent(h.arrive(r))
	second := h.sent(h.end(r.ID, Broken, true))
	require.ElementsMatch(t, []string{"c0", "c1"}, []string{first, second})
	cmds := append(h.end(r.ID, Broken, true), h.advance(r.Objective)...)
	_, sent := findCmd[SendCmd](cmds)
	require.False(t, sent)
	_, failed := findCmd[FailCmd](cmds)
	require.True(t, failed)
}

// TestRegionLastResortInside checks that a restricted request goes to a leaving server if its
// regions have no other, even if servers in other regions are available, and never to a leaving
// server outside.
func TestRegionLastResortInside(t *testing.T) {
	h := newRegionHarness(t, Config{}, 1)
	list := func(revision uint64, draining ...string) {
		d := Directory{Revision: revision}
		for _, hall := range []string{"a", "b", "c"} {
			d.Servers = append(d.Servers, Server{ID: hall + "0", Service: "llm", Zone: hall, Slots: 48, Draining: slices.Contains(draining, hall)})
		}
		h.m.Update(ServersMsg{Now: h.now, Directory: d})
	}
	list(2, "c")
	require.Equal(t, "c0", h.sent(h.arrive(h.requestIn("west"))))
	list(3, "a", "b", "c")
	require.Contains(t, []string{"a0", "b0"}, h.sent(h.arrive(h.requestIn("east"))))
	require.Equal(t, ReasonNoServers, h.refused(h.arrive(h.requestIn("north"))))
}

// TestRegionRetryAfter checks that the retry delay of a restricted request depends only on the
// load of the servers inside its regions.
func TestRegionRetryAfter(t *testing.T) {
	after := func(busy string) time.Duration {
		h := newRegionHarness(t, Config{}, 1)
		h.m.byServer[busy].pendingTokens = 1_000_000
		r := &requestState{Request: h.requestIn("west")}
		r.ID = 1
		return h.m.retryAfter(h.now, h.m.pool("llm"), r, ReasonOverload)
	}
	require.Greater(t, after("c0"), 5*time.Second)
	require.Less(t, after("a0"), time.Second)
}

// TestRegionDistance checks that there are three distances if more than one region is known, and
// two otherwise.
func TestRegionDistance(t *testing.T) {
	h := newRegionHarness(t, Config{}, 1)
	distances := func() []float64 {
		var out []float64
		for _, id := range []string{"a0", "b0", "c0", "d0"} {
			out = append(out, h.m.distance(h.m.byServer[id]))
		}
		return out
	}
	require.Equal(t, []float64{0, zoneCost, regionCost, regionCost}, distances())
	h.m.Update(HallRegionsMsg{Now: h.now, Halls: map[string]string{"a": "east", "b": "east"}})
	require.Equal(t, []float64{0, zoneCost, zoneCost, zoneCost}, distances())
	h.m.Update(HallRegionsMsg{Now: h.now})
	require.Equal(t, []float64{0, zoneCost, zoneCost, zoneCost}, distances())
}

// TestRegionOfRouter checks that a router has the region of its hall if none is configured.
func TestRegionOfRouter(t *testing.T) {
	g := newHallRegions("", "a", map[string]string{"a": "east", "c": "west"})
	require.True(t, g.isLocal("east"))
	require.False(t, g.isLocal("west"))
	require.False(t, g.isLocal(""))
}

// TestRegionNearerFirst checks that requests stay in the router's own region while it has
// capacity, and go to others when it has none.
func TestRegionNearerFirst(t *testing.T) {
	h := newRegionHarness(t, Config{}, 1)
	h.evacuate(1, "d")
	halls := make(map[string]int)
	for range 120 {
		r := h.request("red")
		r.PromptTokens = 10
		halls[h.sent(h.arrive(r))]++
		if halls["a0"]+halls["b0"] <= 12 {
			require.Zero(t, halls["c0"])
		}
	}
	require.Positive(t, halls["c0"])
}

package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// newRolloutHarness returns a harness with six old and six new servers in three halls and a
// gate for the rollout from v1 to v2. It runs until the responses of all servers count as
// evidence.
func newRolloutHarness(t *testing.T, g rollout.Gate) *harness {
	h := &harness{t: t, m: NewMachine(Options{Zone: "a", Gated: true, RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}}), now: time.Second}
	h.m.Update(ConfigMsg{Now: h.now, Config: Config{
		Version:  1,
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 48, KVTokens: 900000}}},
		Limits:   Limits{TokensPerSecond: 1e6},
	}})
	h.m.Update(ServersMsg{Now: h.now, Directory: versionDirectory(1, 6, "v1", "v2")})
	h.gate(g)
	h.advance(2 * evidenceDelay)
	return h
}

// versionDirectory lists some servers of each version in three halls.
func versionDirectory(revision uint64, each int, names ...string) Directory {
	d := Directory{Revision: revision}
	for _, name := range names {
		for i := range each {
			zone := [...]string{"a", "b", "c"}[i%3]
			d.Servers = append(d.Servers, Server{ID: fmt.Sprint(name, "-", i), Service: "llm", Zone: zone, Version: name, Slots: 48})
		}
	}
	return d
}

// canaryGate returns a gate that admits a fraction of the requests to the target version,
// without a limit on their count.
func canaryGate(fraction float64) rollout.Gate {
	return rollout.Gate{Service: "llm", InUse: []string{"v1"}, Target: "v2", Fraction: fraction, Limit: 1, ServerFraction: 1}
}

func (h *harness) gate(g rollout.Gate) []Cmd {
	return append([]Cmd(nil), h.m.Update(GateMsg{Now: h.now, Gate: g})...)
}

// routeRequest returns a request of a route with a shared prompt part that no other request
// has.
func (h *harness) routeRequest(route string) Request {
	r := h.request("red", PromptPart{ID: uint64(h.lastID)*7919 + 1, Tokens: 100}, PromptPart{ID: uint64(h.lastID) << 32, Tokens: 100})
	r.Route = route
	return r
}

// complete ends a running request successfully.
func (h *harness) complete(id RequestID) []Cmd {
	out := append([]Cmd(nil), h.m.Update(FirstEventMsg{Now: h.now, ID: id})...)
	return append(out, h.end(id, Done, false)...)
}

// countByVersion sends requests of a route one by one and counts them by version; "none" counts
// those that were not sent.
func (h *harness) countByVersion(route string, n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		r := h.routeRequest(route)
		if c, ok := findCmd[SendCmd](h.arrive(r)); ok {
			counts[c.Server.Version]++
			h.complete(r.ID)
		} else {
			counts["none"]++
			h.m.Update(CancelMsg{Now: h.now, ID: r.ID})
		}
		h.advance(TickInterval)
	}
	return counts
}

// TestRolloutGatedWithoutAGate checks that requests are refused at once while nothing is known
// about the service.
func TestRolloutGatedWithoutAGate(t *testing.T) {
	h := newRolloutHarness(t, rollout.Gate{Service: "llm"})
	refused, ok := findCmd[RefuseCmd](h.arrive(h.routeRequest("chat")))
	require.True(t, ok)
	require.Equal(t, ReasonNoServers, refused.Reason)
}

// TestRolloutOnlyVersionsInUse checks that other versions get no requests, even if no server of a
// version in use is left.
func TestRolloutOnlyVersionsInUse(t *testing.T) {
	h := newRolloutHarness(t, rollout.Gate{Service: "llm", InUse: []string{"v1"}})
	require.Equal(t, map[string]int{"v1": 100}, h.countByVersion("chat", 100))
	h.m.Update(ServersMsg{Now: h.now, Directory: versionDirectory(2, 6, "v2")})
	h.advance(2 * maxLapseGrace)
	require.Equal(t, map[string]int{"none": 20}, h.countByVersion("chat", 20))
}

// TestRolloutBarredServersAreNotAveraged adds servers of a version that is not in use: the load
// that the machine computes doesn't change.
func TestRolloutBarredServersAreNotAveraged(t *testing.T) {
	busy := func(names ...string) (float64, float64, time.Duration) {
		h := newRolloutHarness(t, rollout.Gate{Service: "llm", InUse: []string{"v1"}})
		h.m.Update(ServersMsg{Now: h.now, Directory: versionDirectory(2, 6, names...)})
		for range 150 {
			h.arrive(h.routeRequest("chat"))
		}
		h.advance(time.Second)
		p := h.m.pool("llm")
		return h.m.Shares(h.now, 0).Busy, h.m.Shares(h.now, 0).Headroom, h.m.retryAfter(h.now, p, &requestState{Request: Request{Team: "red"}}, ReasonOverload)
	}
	aloneBusy, aloneHeadroom, aloneAfter := busy("v1")
	besideBusy, besideHeadroom, besideAfter := busy("v1", "v3")
	require.NotZero(t, aloneBusy)
	require.Equal(t, []any{aloneBusy, aloneHeadroom, aloneAfter}, []any{besideBusy, besideHeadroom, besideAfter})
}

// TestRolloutBarredServersDoNotCountAsLapsed removes all entries of a version that gets no
// requests together with one of a version in use: this doesn't count as a lapse.
func TestRolloutBarredServersDoNotCountAsLapsed(t *testing.T) {
	h := newRolloutHarness(t, rollout.Gate{Service: "llm", InUse: []string{"v1"}})
	d := versionDirectory(2, 6, "v1")
	d.Servers = d.Servers[1:]
	cmds := h.m.Update(ServersMsg{Now: h.now, Directory: d})
	for _, c := range cmds {
		if status, ok := c.(ServerStatusCmd); ok {
			require.Equal(t, StatusGone, status.Status, status.Server.ID)
		}
	}
	require.Len(t, h.m.pool("llm").admitted, 6, "gone servers must be kept until they are forgotten")
	require.False(t, h.m.byServer["v1-0"].usable(h.now))
}

// TestRolloutStates checks that barred servers are reported as such.
func TestRolloutStates(t *testing.T) {
	h := newRolloutHarness(t, rollout.Gate{Service: "llm", InUse: []string{"v1"}})
	states := h.m.Servers(h.now)
	require.Len(t, states, 12)
	for _, s := range states {
		require.Equal(t, s.Version != "v1", s.Barred, s.ID)
	}
}

// TestRolloutCrossSection checks that the canary gets about the same fraction of each route's
// requests.
func TestRolloutCrossSection(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(0.1))
	for _, route := range []string{"chat", "tag", "plan"} {
		require.InDelta(t, 200, h.countByVersion(route, 2000)["v2"], 45, route)
	}
}

// TestRolloutFractionZero checks that the target version gets no requests at fraction 0.
func TestRolloutFractionZero(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(0))
	require.Equal(t, map[string]int{"v1": 200}, h.countByVersion("chat", 200))
}

// TestRolloutLimit checks that the number of requests to the target version is limited, for each
// route separately, from the first request on.
func TestRolloutLimit(t *testing.T) {
	g := canaryGate(0.5)
	g.Limit = 0.05
	h := newRolloutHarness(t, g)
	require.InDelta(t, 19, h.countByVersion("chat", 400)["v2"], 1)
	require.Equal(t, 1, h.countByVersion("tag", 19)["v2"], "a burst of one per route, within the limit of the service")
	require.Equal(t, 1, h.countByVersion("tag", 20)["v2"])
}

// TestRolloutLimitHasNothingInAdvance checks that the target version gets no request before as
// many requests of the service have reached servers as its limit requires, whatever their
// routes are.
func TestRolloutLimitHasNothingInAdvance(t *testing.T) {
	g := canaryGate(1)
	g.Limit = 0.05
	h := newRolloutHarness(t, g)
	for _, route := range []string{"chat", "tag", "plan"} {
		require.Zero(t, h.countByVersion(route, 6)["v2"])
	}
	require.Equal(t, 1, h.countByVersion("chat", 2)["v2"])
}

// TestRolloutTrialOfFewParts checks that some requests go to the canary by their IDs if all
// requests of a route share a part that has not moved. Otherwise, the canary would give no
// evidence about the route until its part moves.
func TestRolloutTrialOfFewParts(t *testing.T) {
	g := canaryGate(0.05)
	g.Limit = 0.05
	h := newRolloutHarness(t, g)
	unmoved := uint64(1)
	for unitHash(unmoved) < g.Fraction {
		unmoved++
	}
	sent := 0
	for range 1000 {
		r := h.routeRequest("chat")
		r.Parts = []PromptPart{{ID: unmoved, Tokens: 50}, {ID: uint64(r.ID) << 32, Tokens: 50}}
		if c, ok := findCmd[SendCmd](h.arrive(r)); ok {
			if c.Server.Version == "v2" {
				sent++
			}
			h.complete(r.ID)
		}
		h.advance(TickInterval)
	}
	require.Greater(t, sent, 10)
	require.LessOrEqual(t, sent, 50)
}

// TestRolloutLimitIsKeptThroughGates checks that a new gate keeps the counts if the target
// version stays the same, and resets them if it changes.
func TestRolloutLimitIsKeptThroughGates(t *testing.T) {
	g := canaryGate(1)
	g.Limit = 0.1
	h := newRolloutHarness(t, g)
	require.Equal(t, 10, h.countByVersion("chat", 100)["v2"])
	g.Fraction = 0.9
	h.gate(g)
	require.Equal(t, 1, h.countByVersion("chat", 10)["v2"])
	g.InUse, g.Target, g.Fraction = []string{"v2"}, "v1", 1
	h.gate(g)
	require.Zero(t, h.countByVersion("chat", 9)["v1"])
}

// TestRolloutLimitCountsWhatArrives checks that attempts that never reached a server do not
// raise the number that may go to the target version.
func TestRolloutLimitCountsWhatArrives(t *testing.T) {
	g := canaryGate(1)
	g.Limit = 0.5
	h := newRolloutHarness(t, g)
	for range 40 {
		r := h.routeRequest("chat")
		r.Attempts = 1
		c, ok := findCmd[SendCmd](h.arrive(r))
		if ok {
			require.Equal(t, "v1", c.Server.Version)
			h.end(r.ID, Hung, false)
		}
		h.advance(TickInterval)
	}
}

// TestRolloutFullTargetFallsBack checks that requests go to old servers if the target version
// has no capacity, unless old servers are closed.
func TestRolloutFullTargetFallsBack(t *testing.T) {
	for _, closed := range []bool{false, true} {
		g := canaryGate(1)
		g.OldClosed = closed
		h := newRolloutHarness(t, g)
		var full []loads.Load
		for i := range 6 {
			full = append(full, loads.Load{Server: loads.ServerKey(fmt.Sprint("v2-", i)), Running: 48})
		}
		h.m.Update(PeerLoadsMsg{Now: h.now, Loads: full})
		c, sent := findCmd[SendCmd](h.arrive(h.routeRequest("chat")))
		require.Equal(t, !closed, sent)
		if sent {
			require.Equal(t, "v1", c.Server.Version)
			require.Equal(t, SideFull, c.PlacementBasis.Side)
		}
	}
}

// TestRolloutSideWithoutServersIsRefusedAtOnce checks that a request whose side has no servers is
// not queued.
func TestRolloutSideWithoutServersIsRefusedAtOnce(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(1e-9))
	d := versionDirectory(2, 6, "v1", "v2")
	for i := range d.Servers {
		d.Servers[i].Draining = d.Servers[i].Version == "v1"
	}
	h.m.Update(ServersMsg{Now: h.now, Directory: d})
	h.advance(2 * maxLastResortTime)
	require.Len(t, h.canaryServerIDs(), 6, "servers of the target version must be in use")
	refused, ok := findCmd[RefuseCmd](h.arrive(h.routeRequest("chat")))
	require.True(t, ok)
	require.Equal(t, ReasonNoServers, refused.Reason)
}

// TestRolloutRetryGoesToOldServers checks that a request that failed at the target version is
// retried at an old server.
func TestRolloutRetryGoesToOldServers(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(1))
	r := h.routeRequest("chat")
	c, _ := findCmd[SendCmd](h.arrive(r))
	require.Equal(t, "v2", c.Server.Version)
	require.True(t, c.PlacementBasis.Target)
	require.Equal(t, SideTarget, c.PlacementBasis.Side)
	c, ok := findCmd[SendCmd](h.end(r.ID, Failed, true))
	require.True(t, ok)
	require.Equal(t, "v1", c.Server.Version)
	require.False(t, c.PlacementBasis.Target)
	require.Equal(t, SideRetry, c.PlacementBasis.Side)
}

// TestRolloutRetryWithOldClosed checks that retries go to the target version if old servers are
// closed.
func TestRolloutRetryWithOldClosed(t *testing.T) {
	g := canaryGate(1)
	g.OldClosed = true
	h := newRolloutHarness(t, g)
	r := h.routeRequest("chat")
	h.arrive(r)
	c, ok := findCmd[SendCmd](h.end(r.ID, Failed, true))
	require.True(t, ok)
	require.Equal(t, "v2", c.Server.Version)
}

// canaryServerIDs returns the target version's servers that get requests.
func (h *harness) canaryServerIDs() []string {
	var out []string
	for _, s := range h.m.Servers(h.now) {
		if s.Version == "v2" && !s.Barred {
			out = append(out, s.ID)
		}
	}
	return out
}

// TestRolloutTrialServers checks that a canary has a few servers, one in each hall, the same
// ones in all routers, and that servers that get no requests are skipped.
func TestRolloutTrialServers(t *testing.T) {
	g := canaryGate(0.02)
	g.ServerFraction = 0.02
	h, other := newRolloutHarness(t, g), newRolloutHarness(t, g)
	for _, router := range []*harness{h, other} {
		router.m.Update(ServersMsg{Now: h.now, Directory: versionDirectory(2, 60, "v1", "v2")})
	}
	chosen := h.canaryServerIDs()
	require.Len(t, chosen, minCanaryServers)
	require.Equal(t, chosen, other.canaryServerIDs())
	halls := make(map[string]bool)
	for _, id := range chosen {
		halls[h.m.byServer[id].Zone] = true
	}
	require.Len(t, halls, 3)
	h.evacuate(2, "a")
	require.Len(t, h.canaryServerIDs(), minCanaryServers)
	for _, id := range h.canaryServerIDs() {
		require.NotEqual(t, "a", h.m.byServer[id].Zone)
	}
	g.ServerFraction = 0.1
	h.evacuate(3)
	h.gate(g)
	require.Len(t, h.canaryServerIDs(), 6)
}

// TestRolloutEjectionKeepsCanaryServers fails all responses of the target version: at least
// half of the canary servers stay in use, so that there is evidence about the version.
func TestRolloutEjectionKeepsCanaryServers(t *testing.T) {
	g := canaryGate(1)
	g.ServerFraction = 0.5
	h := newRolloutHarness(t, g)
	for range 200 {
		r := h.routeRequest("chat")
		c, ok := findCmd[SendCmd](h.arrive(r))
		require.True(t, ok)
		if c.PlacementBasis.Target {
			h.end(r.ID, Failed, false)
		} else {
			h.complete(r.ID)
		}
		h.now += time.Millisecond
		usable := 0
		for _, s := range h.m.pool("llm").gate.target {
			if s.usable(h.now) {
				usable++
			}
		}
		require.GreaterOrEqual(t, usable, 2)
	}
}

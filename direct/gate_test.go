package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// newMove returns a bench with six old and six new servers in three halls, whose service
// moves from v1 to v2 by the gate, and which has run long enough for them to settle.
func newRolloutBench(t *testing.T, g rollout.Gate) *harness {
	b := &harness{t: t, m: NewMachine(Options{Zone: "a", Gated: true, RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}}), now: time.Second}
	b.m.Update(ConfigMsg{Now: b.now, Config: Config{
		Version:  1,
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 48, KVTokens: 900000}}},
		Limits:   Limits{TokensPerSecond: 1e6},
	}})
	b.m.Update(ServersMsg{Now: b.now, Directory: versionDirectory(1, 6, "v1", "v2")})
	b.gate(g)
	b.advance(2 * evidenceDelay)
	return b
}

// versions lists some servers of each version, spread over three halls.
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

// trial is a gate that lets a part through, without bounds on the count.
func canaryGate(part float64) rollout.Gate {
	return rollout.Gate{Service: "llm", InUse: []string{"v1"}, Target: "v2", Fraction: part, Limit: 1, ServerFraction: 1}
}

func (b *harness) gate(g rollout.Gate) []Cmd {
	return append([]Cmd(nil), b.m.Update(GateMsg{Now: b.now, Gate: g})...)
}

// one returns a request of a route with a shared part of its own.
func (b *harness) routeRequest(route string) Request {
	r := b.request("red", PromptPart{ID: uint64(b.lastID)*7919 + 1, Tokens: 100}, PromptPart{ID: uint64(b.lastID) << 32, Tokens: 100})
	r.Route = route
	return r
}

// answer lets a running request end well.
func (b *harness) complete(id RequestID) []Cmd {
	out := append([]Cmd(nil), b.m.Update(FirstEventMsg{Now: b.now, ID: id})...)
	return append(out, b.end(id, Done, false)...)
}

// byVersion sends requests of a route one by one and counts them by version; none
// counts those that were not sent.
func (b *harness) countByVersion(route string, n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		r := b.routeRequest(route)
		if c, ok := findCmd[SendCmd](b.arrive(r)); ok {
			counts[c.Server.Version]++
			b.complete(r.ID)
		} else {
			counts["none"]++
			b.m.Update(CancelMsg{Now: b.now, ID: r.ID})
		}
		b.advance(TickInterval)
	}
	return counts
}

// TestRolloutGatedWithoutAGate serves nobody while nothing is known of the service, and
// holds nobody up.
func TestRolloutGatedWithoutAGate(t *testing.T) {
	b := newRolloutBench(t, rollout.Gate{Service: "llm"})
	refused, ok := findCmd[RefuseCmd](b.arrive(b.routeRequest("chat")))
	require.True(t, ok)
	require.Equal(t, ReasonNoServers, refused.Reason)
}

// TestRolloutOnlyVersionsInUse sends nothing to others, also where no server in use is
// left.
func TestRolloutOnlyVersionsInUse(t *testing.T) {
	b := newRolloutBench(t, rollout.Gate{Service: "llm", InUse: []string{"v1"}})
	require.Equal(t, map[string]int{"v1": 100}, b.countByVersion("chat", 100))
	b.m.Update(ServersMsg{Now: b.now, Directory: versionDirectory(2, 6, "v2")})
	b.advance(2 * maxLapseGrace)
	require.Equal(t, map[string]int{"none": 20}, b.countByVersion("chat", 20))
}

// TestRolloutOthersAreInNoAverage lists servers of another version beside those in use:
// what the machine takes its own load to be stays as it is without them.
func TestRolloutBarredServersAreNotAveraged(t *testing.T) {
	busy := func(names ...string) (float64, float64, time.Duration) {
		b := newRolloutBench(t, rollout.Gate{Service: "llm", InUse: []string{"v1"}})
		b.m.Update(ServersMsg{Now: b.now, Directory: versionDirectory(2, 6, names...)})
		for range 150 {
			b.arrive(b.routeRequest("chat"))
		}
		b.advance(time.Second)
		p := b.m.pool("llm")
		return b.m.Shares(b.now, 0).Busy, b.m.Shares(b.now, 0).Headroom, b.m.retryAfter(b.now, p, &requestState{Request: Request{Team: "red"}}, ReasonOverload)
	}
	aloneBusy, aloneHeadroom, aloneAfter := busy("v1")
	besideBusy, besideHeadroom, besideAfter := busy("v1", "v3")
	require.NotZero(t, aloneBusy)
	require.Equal(t, []any{aloneBusy, aloneHeadroom, aloneAfter}, []any{besideBusy, besideHeadroom, besideAfter})
}

// TestRolloutOthersHoldNoLapse has all entries of a version that gets nothing go at once
// with one that is in use: they are no reason to take that for a lapse.
func TestRolloutBarredServersDoNotCountAsLapsed(t *testing.T) {
	b := newRolloutBench(t, rollout.Gate{Service: "llm", InUse: []string{"v1"}})
	d := versionDirectory(2, 6, "v1")
	d.Servers = d.Servers[1:]
	cmds := b.m.Update(ServersMsg{Now: b.now, Directory: d})
	for _, c := range cmds {
		if belief, ok := c.(ServerStatusCmd); ok {
			require.Equal(t, StatusGone, belief.Status, belief.Server.ID)
		}
	}
	require.Len(t, b.m.pool("llm").admitted, 6, "gone servers are forgotten later")
	require.False(t, b.m.byServer["v1-0"].usable(b.now))
}

// TestRolloutStates says of each server its version and whether it gets nothing.
func TestRolloutStates(t *testing.T) {
	b := newRolloutBench(t, rollout.Gate{Service: "llm", InUse: []string{"v1"}})
	states := b.m.Servers(b.now)
	require.Len(t, states, 12)
	for _, s := range states {
		require.Equal(t, s.Version != "v1", s.Barred, s.ID)
	}
}

// TestRolloutCrossSection has each route in the trial with about its part of the
// requests.
func TestRolloutCrossSection(t *testing.T) {
	b := newRolloutBench(t, canaryGate(0.1))
	for _, route := range []string{"chat", "tag", "plan"} {
		require.InDelta(t, 200, b.countByVersion(route, 2000)["v2"], 45, route)
	}
}

// TestRolloutPartZero sends nothing to the target.
func TestRolloutPartZero(t *testing.T) {
	b := newRolloutBench(t, canaryGate(0))
	require.Equal(t, map[string]int{"v1": 200}, b.countByVersion("chat", 200))
}

// TestRolloutLimit bounds by count what goes to the target, for each route by itself, from
// the first request on.
func TestRolloutLimit(t *testing.T) {
	g := canaryGate(0.5)
	g.Limit = 0.05
	b := newRolloutBench(t, g)
	require.InDelta(t, 19, b.countByVersion("chat", 400)["v2"], 1)
	require.Equal(t, 1, b.countByVersion("tag", 19)["v2"], "one ahead for a route, within the service's limit")
	require.Equal(t, 1, b.countByVersion("tag", 20)["v2"])
}

// TestRolloutLimitHasNothingInAdvance sends nothing to the target before as many requests
// of the service have reached servers as its limit asks for, of whatever routes.
func TestRolloutLimitHasNothingInAdvance(t *testing.T) {
	g := canaryGate(1)
	g.Limit = 0.05
	b := newRolloutBench(t, g)
	for _, route := range []string{"chat", "tag", "plan"} {
		require.Zero(t, b.countByVersion(route, 6)["v2"])
	}
	require.Equal(t, 1, b.countByVersion("chat", 2)["v2"])
}

// TestRolloutTrialOfFewParts takes some requests by their ids where all of a route share a
// part that has not moved: its evidence would begin with the ramp only.
func TestRolloutTrialOfFewParts(t *testing.T) {
	g := canaryGate(0.05)
	g.Limit = 0.05
	b := newRolloutBench(t, g)
	unmoved := uint64(1)
	for unitHash(unmoved) < g.Fraction {
		unmoved++
	}
	sent := 0
	for range 1000 {
		r := b.routeRequest("chat")
		r.Parts = []PromptPart{{ID: unmoved, Tokens: 50}, {ID: uint64(r.ID) << 32, Tokens: 50}}
		if c, ok := findCmd[SendCmd](b.arrive(r)); ok {
			if c.Server.Version == "v2" {
				sent++
			}
			b.complete(r.ID)
		}
		b.advance(TickInterval)
	}
	require.Greater(t, sent, 10)
	require.LessOrEqual(t, sent, 50)
}

// TestRolloutLimitIsKeptThroughGates keeps the counts while the target stays, and begins
// anew with another.
func TestRolloutLimitIsKeptThroughGates(t *testing.T) {
	g := canaryGate(1)
	g.Limit = 0.1
	b := newRolloutBench(t, g)
	require.Equal(t, 10, b.countByVersion("chat", 100)["v2"])
	g.Fraction = 0.9
	b.gate(g)
	require.Equal(t, 1, b.countByVersion("chat", 10)["v2"])
	g.InUse, g.Target, g.Fraction = []string{"v2"}, "v1", 1
	b.gate(g)
	require.Zero(t, b.countByVersion("chat", 9)["v1"])
}

// TestRolloutLimitCountsWhatArrives doesn't count attempts that never reached a server.
func TestRolloutLimitCountsWhatArrives(t *testing.T) {
	g := canaryGate(1)
	g.Limit = 0.5
	b := newRolloutBench(t, g)
	for range 40 {
		r := b.routeRequest("chat")
		r.Attempts = 1
		c, ok := findCmd[SendCmd](b.arrive(r))
		if ok {
			require.Equal(t, "v1", c.Server.Version)
			b.end(r.ID, Hung, false)
		}
		b.advance(TickInterval)
	}
}

// TestRolloutFullTargetFallsBack sends to old servers what finds no place at the target,
// as long as they are open.
func TestRolloutFullTargetFallsBack(t *testing.T) {
	for _, closed := range []bool{false, true} {
		g := canaryGate(1)
		g.OldClosed = closed
		b := newRolloutBench(t, g)
		var full []loads.Load
		for i := range 6 {
			full = append(full, loads.Load{Server: loads.ServerKey(fmt.Sprint("v2-", i)), Running: 48})
		}
		b.m.Update(PeerLoadsMsg{Now: b.now, Loads: full})
		c, sent := findCmd[SendCmd](b.arrive(b.routeRequest("chat")))
		require.Equal(t, !closed, sent)
		if sent {
			require.Equal(t, "v1", c.Server.Version)
			require.Equal(t, SideFull, c.PlacementBasis.Side)
		}
	}
}

// TestRolloutShutSideIsRefusedAtOnce holds up no request whose side has no servers.
func TestRolloutSideWithoutServersIsRefusedAtOnce(t *testing.T) {
	b := newRolloutBench(t, canaryGate(1e-9))
	d := versionDirectory(2, 6, "v1", "v2")
	for i := range d.Servers {
		d.Servers[i].Draining = d.Servers[i].Version == "v1"
	}
	b.m.Update(ServersMsg{Now: b.now, Directory: d})
	b.advance(2 * maxLastResortTime)
	require.Len(t, b.canaryServerIDs(), 6, "there are servers, for others")
	refused, ok := findCmd[RefuseCmd](b.arrive(b.routeRequest("chat")))
	require.True(t, ok)
	require.Equal(t, ReasonNoServers, refused.Reason)
}

// TestRolloutRetryGoesToOldServers repeats at an old server what failed at the target.
func TestRolloutRetryGoesToOldServers(t *testing.T) {
	b := newRolloutBench(t, canaryGate(1))
	r := b.routeRequest("chat")
	c, _ := findCmd[SendCmd](b.arrive(r))
	require.Equal(t, "v2", c.Server.Version)
	require.True(t, c.PlacementBasis.Target)
	require.Equal(t, SideTarget, c.PlacementBasis.Side)
	c, ok := findCmd[SendCmd](b.end(r.ID, Failed, true))
	require.True(t, ok)
	require.Equal(t, "v1", c.Server.Version)
	require.False(t, c.PlacementBasis.Target)
	require.Equal(t, SideRetry, c.PlacementBasis.Side)
}

// TestRolloutRetryWithOldClosed repeats at the target where old servers are closed.
func TestRolloutRetryWithOldClosed(t *testing.T) {
	g := canaryGate(1)
	g.OldClosed = true
	b := newRolloutBench(t, g)
	r := b.routeRequest("chat")
	b.arrive(r)
	c, ok := findCmd[SendCmd](b.end(r.ID, Failed, true))
	require.True(t, ok)
	require.Equal(t, "v2", c.Server.Version)
}

// taking returns the target's servers that get requests.
func (b *harness) canaryServerIDs() []string {
	var out []string
	for _, s := range b.m.Servers(b.now) {
		if s.Version == "v2" && !s.Barred {
			out = append(out, s.ID)
		}
	}
	return out
}

// TestRolloutTrialServers chooses a few servers, one in each hall, the same in all
// routers; those that get nothing are passed over.
func TestRolloutTrialServers(t *testing.T) {
	g := canaryGate(0.02)
	g.ServerFraction = 0.02
	b, other := newRolloutBench(t, g), newRolloutBench(t, g)
	for _, router := range []*harness{b, other} {
		router.m.Update(ServersMsg{Now: b.now, Directory: versionDirectory(2, 60, "v1", "v2")})
	}
	chosen := b.canaryServerIDs()
	require.Len(t, chosen, minCanaryServers)
	require.Equal(t, chosen, other.canaryServerIDs())
	halls := make(map[string]bool)
	for _, id := range chosen {
		halls[b.m.byServer[id].Zone] = true
	}
	require.Len(t, halls, 3)
	b.evacuate(2, "a")
	require.Len(t, b.canaryServerIDs(), minCanaryServers)
	for _, id := range b.canaryServerIDs() {
		require.NotEqual(t, "a", b.m.byServer[id].Zone)
	}
	g.ServerFraction = 0.1
	b.evacuate(3)
	b.gate(g)
	require.Len(t, b.canaryServerIDs(), 6)
}

// TestRolloutEjectionLeavesSomeOfTheTarget has each answer of the target fail: at least
// half of its servers in the trial go on, so that the version can be judged.
func TestRolloutEjectionKeepsCanaryServers(t *testing.T) {
	g := canaryGate(1)
	g.ServerFraction = 0.5
	b := newRolloutBench(t, g)
	for range 200 {
		r := b.routeRequest("chat")
		c, ok := findCmd[SendCmd](b.arrive(r))
		require.True(t, ok)
		if c.PlacementBasis.Target {
			b.end(r.ID, Failed, false)
		} else {
			b.complete(r.ID)
		}
		b.now += time.Millisecond
		usable := 0
		for _, s := range b.m.pool("llm").gate.target {
			if s.usable(b.now) {
				usable++
			}
		}
		require.GreaterOrEqual(t, usable, 2)
	}
}

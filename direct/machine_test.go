package direct

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
)

// TestSharedPartsStayAtOneServer checks that requests with a common part go to one server, and
// that different parts are spread over servers.
func TestSharedPartsStayAtOneServer(t *testing.T) {
	h := newHarness(t, 6)
	servers := make(map[string]bool)
	for part := range uint64(20) {
		var first string
		for range 4 {
			r := h.request("red", PromptPart{ID: 1000 + part, Tokens: 1000}, PromptPart{ID: uint64(h.lastID) << 20, Tokens: 1000})
			server := h.sent(h.arrive(r))
			if first == "" {
				first = server
			}
			require.Equal(t, first, server, "part %d", part)
			h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID})
			h.end(r.ID, Done, false)
			h.now += 50 * time.Millisecond
		}
		servers[first] = true
	}
	require.Greater(t, len(servers), 3)
}

// TestRoutersAgreeOnPreferredServer checks that two routers without contact send a part to the
// same server.
func TestRoutersAgreeOnPreferredServer(t *testing.T) {
	one, other := newHarness(t, 8), newHarness(t, 8)
	for part := range uint64(30) {
		parts := []PromptPart{{ID: 77 + part, Tokens: 4000}, {ID: 5, Tokens: 10}}
		require.Equal(t, one.sent(one.arrive(one.request("red", parts...))), other.sent(other.arrive(other.request("blue", parts...))))
		one.end(one.lastID, Done, false)
		other.end(other.lastID, Done, false)
	}
}

// TestRefusedInGoodTime checks that a request that no server would serve in time is refused
// within a fraction of its objective, with a retry delay.
func TestRefusedInGoodTime(t *testing.T) {
	h := newHarness(t, 1)
	for range 200 {
		if _, sent := findCmd[SendCmd](h.arrive(h.request("red"))); !sent {
			break
		}
	}
	waiting := h.lastID
	cmds := h.advance(time.Duration(maxWaitFraction*400)*time.Millisecond + 2*TickInterval)
	refused, ok := findCmd[RefuseCmd](cmds)
	require.True(t, ok)
	require.Equal(t, waiting, refused.ID)
	require.Positive(t, refused.RetryAfter)
}

// TestTeamsAboveTheirShares checks that a team within its share is served while a team above
// its share is refused.
func TestTeamsAboveTheirShares(t *testing.T) {
	h := newHarness(t, 2)
	refused := map[string]int{}
	sent := map[string]int{}
	var running []RequestID
	for i := range 800 {
		team := "flood"
		if i%16 == 0 {
			team = "small"
		}
		r := h.request(team)
		cmds := h.arrive(r)
		if i%4 == 0 {
			cmds = append(cmds, h.advance(TickInterval)...)
		}
		for _, c := range cmds {
			switch c := c.(type) {
			case SendCmd:
				running = append(running, c.ID)
				sent[teamOf(c.ID)]++
				h.m.Update(FirstEventMsg{Now: h.now, ID: c.ID})
			case RefuseCmd:
				refused[teamOf(c.ID)]++
			}
		}
		if len(running) > 90 {
			h.end(running[0], Done, false)
			running = running[1:]
		}
	}
	require.Zero(t, refused["small"])
	require.Equal(t, 50, sent["small"])
	require.Positive(t, refused["flood"])
}

// teamOf returns the team of a request in TestTeamsAboveTheirShares.
func teamOf(id RequestID) string {
	if (id-1)%16 == 0 {
		return "small"
	}
	return "flood"
}

// TestWaterLevel checks that the smallest demands are met first.
func TestWaterLevel(t *testing.T) {
	require.InDelta(t, 45, waterLevel([]float64{10, 200, 45, 90}, 145), 0.01)
	require.Greater(t, waterLevel([]float64{1, 2, 3}, 100), 1e300)
	require.Greater(t, waterLevel(nil, 100), 1e300)
}

// TestPeerLoads checks that the load of other routers counts in addition to this router's own
// until it expires.
func TestPeerLoads(t *testing.T) {
	h := newHarness(t, 1)
	at := h.sent(h.arrive(h.request("red")))
	require.Equal(t, "e0", at)
	for range 3 {
		h.m.Update(PeerLoadsMsg{Now: h.now, Loads: []loads.Load{{Server: loads.ServerKey("e0"), Running: 9, Pending: 900}, {Server: loads.ServerKey("unknown"), Running: 1}}})
	}
	h.advance(TickInterval)
	require.Equal(t, 10, h.m.byServer["e0"].totalRunning())
	require.Equal(t, 2900, h.m.byServer["e0"].totalPending())
	require.Equal(t, []loads.Load{{Server: loads.ServerKey("e0"), Running: 1, Pending: 2000}}, h.m.Loads(), "only this router's own load")
	h.m.Update(PeerLoadsMsg{Now: h.now})
	require.Equal(t, 1, h.m.byServer["e0"].totalRunning(), "a newer list replaces the older one")
	h.m.Update(PeerLoadsMsg{Now: h.now, Loads: []loads.Load{{Server: loads.ServerKey("e0"), Running: 9}}})
	h.advance(2 * time.Second)
	require.Equal(t, 1, h.m.byServer["e0"].totalRunning())
}

// TestHeadroomIsCommon checks that routers with different estimates agree on one headroom, so
// that shares are the same everywhere.
func TestHeadroomIsCommon(t *testing.T) {
	h := newHarness(t, 1)
	h.m.ownHeadroom = 3
	h.m.Update(PeerReportMsg{Now: h.now, Peer: "x", Report: Report{Headroom: 1.2}})
	h.m.Update(PeerReportMsg{Now: h.now, Peer: "y", Report: Report{Headroom: 1.4}})
	require.InDelta(t, 1.4, h.m.medianHeadroom(), 0.001)
}

// TestOnlyWhatRanIsCharged checks that a request that ended before its first event is refunded
// to its team's use. Its tokens must return to the token bucket only if no server can have
// begun to read it.
func TestOnlyWhatRanIsCharged(t *testing.T) {
	for _, o := range []Outcome{Unsent, NotRun, Elsewhere, Broken, Hung, Failed, GivenUp} {
		for _, begun := range []bool{false, true} {
			h := newHarness(t, 1)
			h.m.team("red").tokenBucket = tokenBucket{rate: 1e6, tokens: 1e6}
			r := h.request("red")
			h.sent(h.arrive(r))
			charged := h.m.team("red").servedRate(h.now)
			require.Positive(t, charged)
			if begun {
				h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID})
			}
			h.end(r.ID, o, false)
			want, left := 0.0, 1e6
			if begun || o == Failed {
				want = charged
			}
			if begun || o == Broken || o == Hung || o == Failed || o == GivenUp {
				left -= tokenCost(r.PromptTokens, r.OutputTokens)
			}
			require.InDelta(t, want, h.m.team("red").servedRate(h.now), 0.001, o.String())
			require.InDelta(t, left, h.m.team("red").tokenBucket.tokens, 0.001, o.String())
		}
	}
}

// TestLostRoutersDemandStays loses a router whose callers ask for much. The other teams' level
// must not jump before those callers have had time to return through other routers.
func TestLostRoutersDemandStays(t *testing.T) {
	h := newHarness(t, 2)
	near := loads.TeamUse{Team: "near", Offered: 900000, Served: 40000}
	reportUse := func(far loads.TeamUse, rounds int) {
		far.Team = "far"
		for range rounds {
			h.m.Update(PeerTeamsMsg{Now: h.now, Teams: []loads.TeamUse{far, near}})
			h.advance(shareInterval)
		}
	}
	reportUse(loads.TeamUse{Offered: 900000, Served: 40000}, 20)
	level := h.m.level
	require.InDelta(t, 50000*h.m.headroom, level, 1)
	reportUse(loads.TeamUse{Offered: 900000}, 20)
	require.InDelta(t, 50000*h.m.headroom, h.m.level, 1, "the demand of a lost router's callers stays for some time")
	require.Zero(t, h.m.team("far").peers.Served, "what it served does not stay")
	reportUse(loads.TeamUse{}, 60)
	require.InDelta(t, 100000*h.m.headroom, h.m.level, 1)
}

// TestNoNewsOfTeams stops the updates of teams from other routers. What the others serve must
// expire first, and their demand after a longer time.
func TestNoNewsOfTeams(t *testing.T) {
	h := newHarness(t, 2)
	h.m.Update(PeerTeamsMsg{Now: h.now, Teams: []loads.TeamUse{{Team: "far", Offered: 900000, Recent: 900000, Served: 40000}}})
	h.advance(loads.TeamsTTL)
	require.EqualValues(t, 40000, h.m.team("far").peers.Served)
	h.advance(time.Second)
	require.Equal(t, loads.TeamUse{Team: "far", Offered: 900000}, h.m.team("far").peers)
	h.advance(loads.DemandTTL)
	require.Zero(t, h.m.team("far").peers.Offered)
}

// TestClumpsLeaveRoom checks that short bursts of load leave the headroom above the teams'
// shares, and that only lasting load removes it.
func TestClumpsLeaveRoom(t *testing.T) {
	h := newHarness(t, 4)
	setPending := func(pendingTokens int) {
		for _, s := range h.m.byServer {
			s.pendingTokens = pendingTokens
		}
	}
	h.m.pool("llm").objectiveMS = 400
	h.advance(10 * time.Second)
	headroom := h.m.Shares(h.now, 0).Headroom
	require.Greater(t, headroom, 2.0)
	for range 10 {
		setPending(9_000)
		h.advance(4 * shareInterval)
		setPending(0)
		h.advance(6 * shareInterval)
	}
	require.Greater(t, h.m.Shares(h.now, 0).Headroom, headroom/2, "short bursts")
	setPending(20_000)
	h.advance(20 * time.Second)
	require.InDelta(t, 1, h.m.Shares(h.now, 0).Headroom, 0.01, "lasting load")
}

// TestCandidatesInOrder compares the partial sort of candidates with a full sort.
func TestCandidatesInOrder(t *testing.T) {
	for n := range 12 {
		all := make([]candidate, n)
		for i := range all {
			all[i].score = uint64(i*7919%13)<<8 | uint64(i)
		}
		want := slices.Clone(all)
		slices.SortFunc(want, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		sortFirstBatch(all)
		require.Equal(t, want[:min(n, candidateBatch)], all[:min(n, candidateBatch)])
		if n > candidateBatch {
			sortRest(all)
		}
		require.Equal(t, want, all)
	}
}

// TestStartedRouterKnowsWhatIsBusy starts a router next to others that keep the servers at work
// but not busy, and delivers a request of a team above its share elsewhere. The request must be
// sent and the headroom must stay. Guards against an average objective that starts at zero: it
// made the servers look busy, so the router refused such requests and removed the headroom of
// all teams.
func TestStartedRouterKnowsWhatIsBusy(t *testing.T) {
	h := newHarness(t, 4)
	reportPeers := func() {
		var all []loads.Load
		for _, s := range h.m.byServer {
			all = append(all, loads.Load{Server: loads.ServerKey(s.ID), Running: 4, Pending: 600})
		}
		h.m.Update(PeerLoadsMsg{Now: h.now, Loads: all})
		h.m.Update(PeerTeamsMsg{Now: h.now, Teams: []loads.TeamUse{{Team: "large", Offered: 400_000, Recent: 400_000, Served: 200_000}}})
		h.advance(shareInterval)
	}
	for range 20 {
		reportPeers()
	}
	r := h.request("large")
	h.sent(h.arrive(r))
	require.Greater(t, h.m.requests[r.ID].shareRatio, 1.0)
	reportPeers()
	require.Less(t, h.m.busy, headroomGrowBelow)
	require.Greater(t, h.m.Shares(h.now, 0).Headroom, 2.0)
}

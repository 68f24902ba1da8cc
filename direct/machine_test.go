package direct

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
)

// TestSharedPartsStayAtOneServer sends requests that share a part to one server, and
// spreads those that share nothing.
func TestSharedPartsStayAtOneServer(t *testing.T) {
	b := newHarness(t, 6)
	servers := make(map[string]bool)
	for part := range uint64(20) {
		var first string
		for range 4 {
			r := b.request("red", PromptPart{ID: 1000 + part, Tokens: 1000}, PromptPart{ID: uint64(b.lastID) << 20, Tokens: 1000})
			server := b.sent(b.arrive(r))
			if first == "" {
				first = server
			}
			require.Equal(t, first, server, "part %d", part)
			b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
			b.end(r.ID, Done, false)
			b.now += 50 * time.Millisecond
		}
		servers[first] = true
	}
	require.Greater(t, len(servers), 3)
}

// TestRoutersAgreeOnPreferredServer has two routers that know nothing of each other send a
// part to the same server.
func TestRoutersAgreeOnPreferredServer(t *testing.T) {
	one, other := newHarness(t, 8), newHarness(t, 8)
	for part := range uint64(30) {
		parts := []PromptPart{{ID: 77 + part, Tokens: 4000}, {ID: 5, Tokens: 10}}
		require.Equal(t, one.sent(one.arrive(one.request("red", parts...))), other.sent(other.arrive(other.request("blue", parts...))))
		one.end(one.lastID, Done, false)
		other.end(other.lastID, Done, false)
	}
}

// TestRefusedInGoodTime refuses what no server would serve in time, within a
// part of its objective, and says when to come back.
func TestRefusedInGoodTime(t *testing.T) {
	b := newHarness(t, 1)
	for range 200 {
		if _, sent := findCmd[SendCmd](b.arrive(b.request("red"))); !sent {
			break
		}
	}
	waiting := b.lastID
	cmds := b.advance(time.Duration(maxWaitFraction*400)*time.Millisecond + 2*TickInterval)
	refused, ok := findCmd[RefuseCmd](cmds)
	require.True(t, ok)
	require.Equal(t, waiting, refused.ID)
	require.Positive(t, refused.RetryAfter)
}

// TestTeamsAboveTheirShares lets a team that stays within its share in while one
// that is above it is refused.
func TestTeamsAboveTheirShares(t *testing.T) {
	b := newHarness(t, 2)
	refused := map[string]int{}
	sent := map[string]int{}
	var running []RequestID
	for i := range 800 {
		team := "flood"
		if i%16 == 0 {
			team = "small"
		}
		r := b.request(team)
		cmds := b.arrive(r)
		if i%4 == 0 {
			cmds = append(cmds, b.advance(TickInterval)...)
		}
		for _, c := range cmds {
			switch c := c.(type) {
			case SendCmd:
				running = append(running, c.ID)
				sent[teamOf(c.ID)]++
				b.m.Update(FirstEventMsg{Now: b.now, ID: c.ID})
			case RefuseCmd:
				refused[teamOf(c.ID)]++
			}
		}
		if len(running) > 90 {
			b.end(running[0], Done, false)
			running = running[1:]
		}
	}
	require.Zero(t, refused["small"])
	require.Equal(t, 50, sent["small"])
	require.Positive(t, refused["flood"])
}

// teamOf names the team of the requests of TestTeamsAboveTheirShares.
func teamOf(id RequestID) string {
	if (id-1)%16 == 0 {
		return "small"
	}
	return "flood"
}

// TestWaterLevel meets the smallest demands first.
func TestWaterLevel(t *testing.T) {
	require.InDelta(t, 45, waterLevel([]float64{10, 200, 45, 90}, 145), 0.01)
	require.Greater(t, waterLevel([]float64{1, 2, 3}, 100), 1e300)
	require.Greater(t, waterLevel(nil, 100), 1e300)
}

// TestPeerLoads counts what other routers have at a server, beside what this
// one has, until nothing newer has come for too long.
func TestPeerLoads(t *testing.T) {
	b := newHarness(t, 1)
	at := b.sent(b.arrive(b.request("red")))
	require.Equal(t, "e0", at)
	for range 3 {
		b.m.Update(PeerLoadsMsg{Now: b.now, Loads: []loads.Load{{Server: loads.ServerKey("e0"), Running: 9, Pending: 900}, {Server: loads.ServerKey("unknown"), Running: 1}}})
	}
	b.advance(TickInterval)
	require.Equal(t, 10, b.m.byServer["e0"].totalRunning())
	require.Equal(t, 2900, b.m.byServer["e0"].totalPending())
	require.Equal(t, []loads.Load{{Server: loads.ServerKey("e0"), Running: 1, Pending: 2000}}, b.m.Loads(), "only its own")
	b.m.Update(PeerLoadsMsg{Now: b.now})
	require.Equal(t, 1, b.m.byServer["e0"].totalRunning(), "the newest list is whole")
	b.m.Update(PeerLoadsMsg{Now: b.now, Loads: []loads.Load{{Server: loads.ServerKey("e0"), Running: 9}}})
	b.advance(2 * time.Second)
	require.Equal(t, 1, b.m.byServer["e0"].totalRunning())
}

// TestHeadroomIsCommon has routers that see different engines agree on the headroom, so
// that shares are the same everywhere.
func TestHeadroomIsCommon(t *testing.T) {
	b := newHarness(t, 1)
	b.m.ownHeadroom = 3
	b.m.Update(PeerReportMsg{Now: b.now, Peer: "x", Report: Report{Headroom: 1.2}})
	b.m.Update(PeerReportMsg{Now: b.now, Peer: "y", Report: Report{Headroom: 1.4}})
	require.InDelta(t, 1.4, b.m.medianHeadroom(), 0.001)
}

// TestOnlyWhatRanIsCharged counts for a team what began: a request that ended
// before its first event gave it nothing. Its allowance is given back only where
// no server can have begun to read the request.
func TestOnlyWhatRanIsCharged(t *testing.T) {
	for _, o := range []Outcome{Unsent, NotRun, Elsewhere, Broken, Hung, Failed, GivenUp} {
		for _, begun := range []bool{false, true} {
			b := newHarness(t, 1)
			b.m.team("red").tokenBucket = tokenBucket{rate: 1e6, tokens: 1e6}
			r := b.request("red")
			b.sent(b.arrive(r))
			charged := b.m.team("red").servedRate(b.now)
			require.Positive(t, charged)
			if begun {
				b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
			}
			b.end(r.ID, o, false)
			want, left := 0.0, 1e6
			if begun || o == Failed {
				want = charged
			}
			if begun || o == Broken || o == Hung || o == Failed || o == GivenUp {
				left -= tokenCost(r.PromptTokens, r.OutputTokens)
			}
			require.InDelta(t, want, b.m.team("red").servedRate(b.now), 0.001, o.String())
			require.InDelta(t, left, b.m.team("red").tokenBucket.tokens, 0.001, o.String())
		}
	}
}

// TestLostRoutersDemandStays loses a router whose callers ask for much: what the
// other teams may have does not jump up until those callers are back.
func TestLostRoutersDemandStays(t *testing.T) {
	b := newHarness(t, 2)
	near := loads.TeamUse{Team: "near", Offered: 900000, Served: 40000}
	reportUse := func(far loads.TeamUse, rounds int) {
		far.Team = "far"
		for range rounds {
			b.m.Update(PeerTeamsMsg{Now: b.now, Teams: []loads.TeamUse{far, near}})
			b.advance(shareInterval)
		}
	}
	reportUse(loads.TeamUse{Offered: 900000, Served: 40000}, 20)
	level := b.m.level
	require.InDelta(t, 50000*b.m.headroom, level, 1)
	reportUse(loads.TeamUse{Offered: 900000}, 20)
	require.InDelta(t, 50000*b.m.headroom, b.m.level, 1, "the demand of a lost router's callers stays for a while")
	require.Zero(t, b.m.team("far").peers.Served, "what it got does not")
	reportUse(loads.TeamUse{}, 60)
	require.InDelta(t, 100000*b.m.headroom, b.m.level, 1)
}

// TestNoNewsOfTeams has a router hear nothing of teams any more: first what others give
// them is forgotten, and their demand a while later.
func TestNoNewsOfTeams(t *testing.T) {
	b := newHarness(t, 2)
	b.m.Update(PeerTeamsMsg{Now: b.now, Teams: []loads.TeamUse{{Team: "far", Offered: 900000, Recent: 900000, Served: 40000}}})
	b.advance(loads.TeamsTTL)
	require.EqualValues(t, 40000, b.m.team("far").peers.Served)
	b.advance(time.Second)
	require.Equal(t, loads.TeamUse{Team: "far", Offered: 900000}, b.m.team("far").peers)
	b.advance(loads.DemandTTL)
	require.Zero(t, b.m.team("far").peers.Offered)
}

// TestClumpsLeaveRoom has engines that are busy for a moment, now and then, keep
// the headroom that teams have above their shares: only lasting work takes it.
func TestClumpsLeaveRoom(t *testing.T) {
	b := newHarness(t, 4)
	setPending := func(pendingTokens int) {
		for _, s := range b.m.byServer {
			s.pendingTokens = pendingTokens
		}
	}
	b.m.pool("llm").objectiveMS = 400
	b.advance(10 * time.Second)
	headroom := b.m.Shares(b.now, 0).Headroom
	require.Greater(t, headroom, 2.0)
	for range 10 {
		setPending(9_000)
		b.advance(4 * shareInterval)
		setPending(0)
		b.advance(6 * shareInterval)
	}
	require.Greater(t, b.m.Shares(b.now, 0).Headroom, headroom/2, "clumps")
	setPending(20_000)
	b.advance(20 * time.Second)
	require.InDelta(t, 1, b.m.Shares(b.now, 0).Headroom, 0.01, "lasting work")
}

// TestCandidatesInOrder compares the order in which a request looks at servers with
// that of a full sort.
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

// TestStartedRouterKnowsWhatIsBusy has a router start beside others that keep the servers at work, though
// not busy, and get a request of a team that is beyond its share elsewhere. It is sent, and the headroom
// stays: a router whose average objective rose from nothing took the servers for busy, so that it
// refused such requests and took the headroom from all teams.
func TestStartedRouterKnowsWhatIsBusy(t *testing.T) {
	b := newHarness(t, 4)
	reportPeers := func() {
		var all []loads.Load
		for _, s := range b.m.byServer {
			all = append(all, loads.Load{Server: loads.ServerKey(s.ID), Running: 4, Pending: 600})
		}
		b.m.Update(PeerLoadsMsg{Now: b.now, Loads: all})
		b.m.Update(PeerTeamsMsg{Now: b.now, Teams: []loads.TeamUse{{Team: "large", Offered: 400_000, Recent: 400_000, Served: 200_000}}})
		b.advance(shareInterval)
	}
	for range 20 {
		reportPeers()
	}
	r := b.request("large")
	b.sent(b.arrive(r))
	require.Greater(t, b.m.requests[r.ID].shareRatio, 1.0)
	reportPeers()
	require.Less(t, b.m.busy, headroomGrowBelow)
	require.Greater(t, b.m.Shares(b.now, 0).Headroom, 2.0)
}

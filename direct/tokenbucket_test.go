package direct

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
)

// TestSharesAreEvenEverySecond floods all of eight routers for one team and a single router for
// another. In each second, both teams must get the shared limit within 35 percent. Guards
// against routers that all admit a team at once and then refuse it for a second.
func TestSharesAreEvenEverySecond(t *testing.T) {
	const routers, second = 8, 40
	fleet := make([]*harness, routers)
	for i := range fleet {
		fleet[i] = newHarness(t, 40)
		fleet[i].m.limits.TokensPerSecond = 500_000
	}
	served := map[string]float64{}
	teams := make([]map[RequestID]string, routers)
	for i := range teams {
		teams[i] = map[RequestID]string{}
	}
	// finish immediately completes the requests that were sent.
	finish := func(i int, cmds []Cmd) {
		for _, c := range cmds {
			if c, ok := c.(SendCmd); ok {
				served[teams[i][c.ID]] += tokenCost(4000, 100)
				fleet[i].m.Update(FirstEventMsg{Now: fleet[i].now, ID: c.ID})
				fleet[i].end(c.ID, Done, false)
			}
		}
	}
	sendRequest := func(i int, team string) {
		r := fleet[i].request(team)
		r.PromptTokens = 4000
		teams[i][r.ID] = team
		finish(i, fleet[i].arrive(r))
	}
	for tick := range 12 * second {
		for i, h := range fleet {
			for range 3 {
				sendRequest(i, "everywhere")
			}
			if i == 0 {
				for range 20 {
					sendRequest(i, "one")
				}
			}
			finish(i, h.advance(TickInterval))
		}
		if tick%8 == 0 {
			exchangeReports(fleet)
		}
		if tick%second == 0 {
			if tick > 8*second {
				share := min(fleet[0].m.level, fleet[0].m.evenCap)
				require.Less(t, share, 2e6, "shares are limited")
				require.InEpsilon(t, share, served["everywhere"], 0.35, "second %d", tick/second)
				require.InEpsilon(t, share, served["one"], 0.35, "second %d", tick/second)
			}
			clear(served)
		}
	}
}

// exchangeReports delivers the reports and team figures of each router to all others.
func exchangeReports(fleet []*harness) {
	uses := make([][]loads.TeamUse, len(fleet))
	for i, h := range fleet {
		uses[i] = h.m.Teams(h.now)
	}
	for i, h := range fleet {
		sum := make(map[string]loads.TeamUse)
		for j := range fleet {
			if j == i {
				continue
			}
			h.m.Update(PeerReportMsg{Now: h.now, Peer: fmt.Sprint(j), Report: fleet[j].m.Report(h.now)})
			for _, u := range uses[j] {
				total := sum[u.Team]
				sum[u.Team] = loads.TeamUse{Team: u.Team, Offered: total.Offered + u.Offered, Recent: total.Recent + u.Recent, Served: total.Served + u.Served}
			}
		}
		h.m.Update(PeerTeamsMsg{Now: h.now, Teams: slices.Collect(maps.Values(sum))})
		h.m.Update(MembershipMsg{Now: h.now, Routers: len(fleet), ReportTTL: time.Second})
	}
}

// TestCallersMoveRouters moves the callers of a flooding team from one router to another.
// Within two seconds the new router must hold the team's limit.
func TestCallersMoveRouters(t *testing.T) {
	fleet := []*harness{newHarness(t, 20), newHarness(t, 20)}
	for _, h := range fleet {
		h.m.limits.TokensPerSecond = 200_000
	}
	flood := func(at *harness, ticks int) {
		for tick := range ticks {
			for _, team := range []string{"moving", "other"} {
				h := at
				if team == "other" {
					h = fleet[1]
				}
				for range 6 {
					r := h.request(team)
					if c, ok := findCmd[SendCmd](h.arrive(r)); ok {
						h.m.Update(FirstEventMsg{Now: h.now, ID: c.ID})
						h.end(c.ID, Done, false)
					}
				}
			}
			for _, h := range fleet {
				h.advance(TickInterval)
			}
			if tick%8 == 0 {
				exchangeReports(fleet)
			}
		}
	}
	flood(fleet[0], 400)
	before := fleet[1].m.team("moving").tokenBucket.rate
	flood(fleet[1], 80)
	after := fleet[1].m.team("moving").tokenBucket.rate
	limit := min(fleet[1].m.level, fleet[1].m.evenCap)
	require.Less(t, before, limit/2)
	require.Greater(t, after, 0.9*limit)
	require.Less(t, fleet[0].m.team("moving").tokenBucket.rate, 0.5*limit)
}

// TestNewRequestsFirst checks that a team above its limit gets tokens for new requests before
// requests that are already late, and that a team within its share has both served.
func TestNewRequestsFirst(t *testing.T) {
	h := newHarness(t, 20)
	h.m.limits.TokensPerSecond = 50_000 // new requests alone ask for more than four times that
	sent := map[bool]int{}
	late := map[RequestID]bool{}
	finish := func(cmds []Cmd) {
		for _, c := range cmds {
			if c, ok := c.(SendCmd); ok {
				sent[late[c.ID]]++
				h.m.Update(FirstEventMsg{Now: h.now, ID: c.ID})
				h.end(c.ID, Done, false)
			}
		}
	}
	sendRequest := func(team string, age time.Duration) {
		r := h.request(team)
		r.Age = age
		late[r.ID] = age > 0
		finish(h.arrive(r))
	}
	for range 400 {
		for range 4 {
			sendRequest("flood", 0)
			sendRequest("flood", 2*time.Second)
		}
		finish(h.advance(TickInterval))
	}
	require.Greater(t, sent[false], 10*sent[true])
	clear(sent)
	for range 20 {
		sendRequest("small", 2*time.Second)
		finish(h.advance(TickInterval))
	}
	require.Equal(t, 20, sent[true])
}

// TestShedTeamsAreUnsatisfied checks that a team whose requests its router sheds for lack of
// processor time still counts as unsatisfied and so caps the other teams. Guards against demand
// that is lost when a request is refused before its body is read.
func TestShedTeamsAreUnsatisfied(t *testing.T) {
	h := newHarness(t, 20)
	h.m.limits.TokensPerSecond = 200_000
	h.m.Update(MembershipMsg{Now: h.now, Routers: 2, ReportTTL: time.Second})
	for range 400 {
		h.m.Update(PeerTeamsMsg{Now: h.now, Teams: []loads.TeamUse{{Team: "elsewhere", Offered: 2e6, Recent: 2e6, Served: 250_000}}})
		h.m.Update(PeerReportMsg{Now: h.now, Peer: "other", Report: Report{
			Headroom: 3,
		}})
		for range 20 {
			h.m.Update(ShedMsg{Now: h.now, Team: "shed", PromptTokens: 2000})
		}
		h.m.team("shed").served.add(h.now, 1000) // 40,000 per second
		h.advance(TickInterval)
	}
	require.Greater(t, h.m.team("shed").offeredRate(h.now), 1e6)
	require.LessOrEqual(t, h.m.evenCap, max(evenCapFactor*41_000, lenientShareFactor*h.m.baseLevel))
}

// TestSpentAllowanceRefusesAtOnce has a team ask for far more than its limit. Requests that the
// token bucket can't cover within their waiting time must be refused on arrival; those that it
// can cover wait and are sent.
func TestSpentAllowanceRefusesAtOnce(t *testing.T) {
	h := newHarness(t, 8)
	refused, expired, sentLater := 0, 0, 0
	finish := func(cmds []Cmd) {
		for _, c := range cmds {
			if s, ok := c.(SendCmd); ok {
				if s.PlacementBasis.QueueWait > 0 {
					sentLater++
				}
				h.m.Update(FirstEventMsg{Now: h.now, ID: s.ID})
				h.end(s.ID, Done, false)
			}
		}
	}
	for range 200 {
		for range 10 {
			r := h.request("flood")
			cmds := h.arrive(r)
			finish(cmds)
			if c, ok := findCmd[RefuseCmd](cmds); ok && c.ID == r.ID {
				require.Equal(t, ReasonOverShare, c.Reason)
				require.Positive(t, c.RetryAfter)
				refused++
			}
		}
		cmds := h.advance(TickInterval)
		finish(cmds)
		for _, c := range cmds {
			if _, ok := c.(RefuseCmd); ok {
				expired++
			}
		}
	}
	require.Greater(t, refused, 1000, "of 2,000")
	require.Less(t, expired, refused/20, "few expire in the queue")
	require.Positive(t, sentLater, "the token bucket covers those that wait")
}

// TestDoorRefusesWhatTheAllowanceCannotCover checks admission for a flooding team. A request
// that would be refused on arrival must be refused by the check, with the reason over_share,
// and count in the team's demand. Teams within their share must pass, and a check that does not
// refuse must count nothing.
func TestDoorRefusesWhatTheAllowanceCannotCover(t *testing.T) {
	h := newHarness(t, 8)
	checkAdmission := func(team string) (RefuseCmd, bool) {
		return findCmd[RefuseCmd](h.m.Update(AdmissionCheckMsg{Now: h.now, Request: h.request(team)}))
	}
	_, refused := checkAdmission("flood")
	require.False(t, refused, "the team has no demand yet")
	require.Zero(t, h.m.team("flood").offeredRate(h.now))
	finish := func(cmds []Cmd) {
		for _, c := range cmds {
			if s, ok := c.(SendCmd); ok {
				h.m.Update(FirstEventMsg{Now: h.now, ID: s.ID})
				h.end(s.ID, Done, false)
			}
		}
	}
	for range 600 {
		for range 10 {
			if _, refused := checkAdmission("flood"); !refused {
				finish(h.arrive(h.request("flood")))
			}
		}
		finish(h.arrive(h.request("small")))
		finish(h.advance(TickInterval))
	}
	cmd, refused := checkAdmission("flood")
	for range 20 {
		if !refused {
			finish(h.arrive(h.request("flood")))
			cmd, refused = checkAdmission("flood")
		}
	}
	require.True(t, refused)
	require.Equal(t, ReasonOverShare, cmd.Reason)
	require.Positive(t, cmd.RetryAfter)
	_, refused = checkAdmission("small")
	require.False(t, refused)
	offered := h.m.team("flood").offeredRate(h.now)
	require.InDelta(t, 10*40*2200, offered, 0.15*10*40*2200, "refused requests count in the demand")
	require.Less(t, h.m.TeamWeight(h.now, "flood"), 6*h.m.TeamWeight(h.now, "small"), "only admitted requests count in the weight, not ten times as many")
}

// TestSurplusReadsNothingAgain has a team above its share send a prompt whose preferred server
// is overloaded. The request must not go to another server, which would have to read the shared
// part, even if this router knows no holder of the part. A request of a team within its share
// must go there.
func TestSurplusReadsNothingAgain(t *testing.T) {
	shared, own := PromptPart{ID: 7, Tokens: 2000}, PromptPart{ID: 8, Tokens: 500}
	busy := func(shareRatio float64) (*harness, *requestState, string) {
		h := newHarness(t, 4)
		p := h.m.pool("llm")
		r := &requestState{Request: h.request("red", shared, own), shareRatio: shareRatio}
		preferred := h.m.preferredServer(h.now, p, r)
		preferred.peerLoad.Pending = 1_000_000
		return h, r, preferred.ID
	}
	h, r, preferred := busy(0.5)
	c, ok := h.m.place(h.now, h.m.pool("llm"), r)
	require.True(t, ok)
	require.NotEqual(t, preferred, c.server.ID)
	h, r, _ = busy(1.2)
	_, ok = h.m.place(h.now, h.m.pool("llm"), r)
	require.False(t, ok)
}

// TestNewRequestsFirstWithinTheShare checks that new requests take tokens before late ones also
// if the other routers serve the team less than its share.
func TestNewRequestsFirstWithinTheShare(t *testing.T) {
	h := newHarness(t, 4)
	team := h.m.team("red")
	team.tokenBucket = tokenBucket{rate: 1000, tokens: 10}
	h.m.baseLevel, h.m.level = 100_000, 100_000
	p := h.m.pool("llm")
	fresh, late := &requestState{Request: h.request("red")}, &requestState{Request: h.request("red"), late: true}
	h.m.updateTeamState(h.now, p, fresh)
	h.m.updateTeamState(h.now, p, late)
	require.False(t, fresh.throttled)
	require.True(t, late.throttled)
	team.tokenBucket.tokens = 1000
	h.m.updateTeamState(h.now, p, late)
	require.False(t, late.throttled, "the bucket is above the reserve for new requests")
}

// TestShortestWaitFirst queues a request that may wait long and then one that may not. The
// later request must get the team's tokens first, and the first must not count against it.
func TestShortestWaitFirst(t *testing.T) {
	var q queue
	longWait := &requestState{Request: Request{ID: 1, Team: "red", PromptTokens: 5000}, waitUntil: 120 * time.Millisecond}
	shortWait := &requestState{Request: Request{ID: 2, Team: "red", PromptTokens: 1000}, arrivedAt: time.Millisecond, waitUntil: 60 * time.Millisecond}
	q.add(longWait)
	require.Zero(t, q.queuedTokens("red", shortWait.waitUntil))
	require.Equal(t, 5000.0, q.queuedTokens("red", longWait.waitUntil))
	q.add(shortWait)
	q.sort()
	require.Equal(t, []*requestState{shortWait, longWait}, q.waiting)
}

// TestCorrection checks that routers grant a team more than its part if it gets less than its
// limit and less if it gets more, by at most maxCorrection.
func TestCorrection(t *testing.T) {
	require.InDelta(t, 1, correction(100, 100), 1e-9)
	require.InDelta(t, 1.25, correction(100, 80), 1e-9)
	require.InDelta(t, 0.8, correction(100, 125), 1e-9)
	require.InDelta(t, maxCorrection, correction(100, 0), 1e-9)
	require.InDelta(t, maxCorrection, correction(100, 10), 1e-9)
	require.InDelta(t, 1/maxCorrection, correction(100, 1000), 1e-9)
	require.InDelta(t, 1/maxCorrection, correction(0, 10), 1e-9)
}

// TestTooMuchIsTakenBack has each of three routers count a team's whole demand as its own,
// which happens while the team's callers switch routers. The team must still get about its
// limit, not three times as much.
func TestTooMuchIsTakenBack(t *testing.T) {
	const warmUp, measured = 400, 400 // ticks
	fleet := []*harness{newHarness(t, 20), newHarness(t, 20), newHarness(t, 20)}
	for _, h := range fleet {
		h.m.limits.TokensPerSecond = 200_000
	}
	teams := []map[RequestID]string{{}, {}, {}}
	served, limit := 0.0, 0.0
	for tick := range warmUp + measured {
		for i, h := range fleet {
			cmds := h.advance(TickInterval)
			for range 6 {
				for _, team := range []string{"flood", "other"} {
					r := h.request(team)
					teams[i][r.ID] = team
					cmds = append(cmds, h.arrive(r)...)
				}
			}
			for _, c := range cmds {
				c, ok := c.(SendCmd)
				if !ok {
					continue
				}
				h.m.Update(FirstEventMsg{Now: h.now, ID: c.ID})
				h.end(c.ID, Done, false)
				if tick >= warmUp && teams[i][c.ID] == "flood" {
					served += tokenCost(2000, 100)
				}
			}
		}
		if tick%8 == 0 {
			exchangeReports(fleet)
		}
		clearPeerDemand(fleet)
		if tick >= warmUp {
			limit += min(fleet[0].m.level, fleet[0].m.evenCap)
		}
	}
	perSecond := served / measured / TickInterval.Seconds()
	require.Less(t, perSecond, 1.8*limit/measured, "three times the limit without the correction")
	require.Greater(t, perSecond, 0.5*limit/measured)
}

// clearPeerDemand clears the recent demand at other routers that each router has recorded.
func clearPeerDemand(fleet []*harness) {
	for _, h := range fleet {
		for _, u := range h.m.teams {
			u.peers.Recent = 0
		}
	}
}

// TestComeBackWhenTheAllowanceCovers checks the retry delay for teams slightly and far above
// their limit: a refused caller must return once its team has been granted its recent demand.
func TestComeBackWhenTheAllowanceCovers(t *testing.T) {
	h := newHarness(t, 2)
	h.m.level, h.m.evenCap = 100_000, 100_000
	after := func(offered, served float32) time.Duration {
		h.m.Update(PeerTeamsMsg{Now: h.now, Teams: []loads.TeamUse{{Team: "red", Offered: offered, Served: served}}})
		return h.m.refillDelay(h.now, "red")
	}
	require.Equal(t, time.Second, after(110_000, 100_000))
	require.Equal(t, 3*time.Second, after(200_000, 100_000))
	require.Equal(t, maxRefillDelay, after(5e6, 100_000))
	h.m.evenCap = math.Inf(1)
	h.m.level = math.Inf(1)
	require.Equal(t, minRefillDelay, after(5e6, 100_000), "no team is limited at the moment")
}

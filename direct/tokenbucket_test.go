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

// TestSharesAreEvenEverySecond has a team flood all of eight routers and another
// one only one of them: in each second both get what either may get, within a
// third. Routers must not all let a team in at once and then refuse it for a second.
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
	// run lets what was sent begin and end at once.
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
		for i, b := range fleet {
			for range 3 {
				sendRequest(i, "everywhere")
			}
			if i == 0 {
				for range 20 {
					sendRequest(i, "one")
				}
			}
			finish(i, b.advance(TickInterval))
		}
		if tick%8 == 0 {
			exchangeReports(fleet)
		}
		if tick%second == 0 {
			if tick > 8*second {
				share := min(fleet[0].m.level, fleet[0].m.evenCap)
				require.Less(t, share, 2e6, "shares are bounded")
				require.InEpsilon(t, share, served["everywhere"], 0.35, "second %d", tick/second)
				require.InEpsilon(t, share, served["one"], 0.35, "second %d", tick/second)
			}
			clear(served)
		}
	}
}

// exchangeReports tells all routers what the others see.
func exchangeReports(fleet []*harness) {
	uses := make([][]loads.TeamUse, len(fleet))
	for i, b := range fleet {
		uses[i] = b.m.Teams(b.now)
	}
	for i, b := range fleet {
		sum := make(map[string]loads.TeamUse)
		for j := range fleet {
			if j == i {
				continue
			}
			b.m.Update(PeerReportMsg{Now: b.now, Peer: fmt.Sprint(j), Report: fleet[j].m.Report(b.now)})
			for _, u := range uses[j] {
				total := sum[u.Team]
				sum[u.Team] = loads.TeamUse{Team: u.Team, Offered: total.Offered + u.Offered, Recent: total.Recent + u.Recent, Served: total.Served + u.Served}
			}
		}
		b.m.Update(PeerTeamsMsg{Now: b.now, Teams: slices.Collect(maps.Values(sum))})
		b.m.Update(MembershipMsg{Now: b.now, Routers: len(fleet), ReportTTL: time.Second})
	}
}

// TestCallersMoveRouters has the callers of a flooding team leave one router for
// another: within two seconds the new one has the team's share.
func TestCallersMoveRouters(t *testing.T) {
	fleet := []*harness{newHarness(t, 20), newHarness(t, 20)}
	for _, b := range fleet {
		b.m.limits.TokensPerSecond = 200_000
	}
	flood := func(at *harness, ticks int) {
		for tick := range ticks {
			for _, team := range []string{"moving", "other"} {
				b := at
				if team == "other" {
					b = fleet[1]
				}
				for range 6 {
					r := b.request(team)
					if c, ok := findCmd[SendCmd](b.arrive(r)); ok {
						b.m.Update(FirstEventMsg{Now: b.now, ID: c.ID})
						b.end(c.ID, Done, false)
					}
				}
			}
			for _, b := range fleet {
				b.advance(TickInterval)
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

// TestNewRequestsFirst gives what a team above its share may have to requests that
// can still meet their objective before those that are late already; a team
// within its share has both served.
func TestNewRequestsFirst(t *testing.T) {
	b := newHarness(t, 20)
	b.m.limits.TokensPerSecond = 50_000 // new requests alone ask for more than four times that
	sent := map[bool]int{}
	late := map[RequestID]bool{}
	finish := func(cmds []Cmd) {
		for _, c := range cmds {
			if c, ok := c.(SendCmd); ok {
				sent[late[c.ID]]++
				b.m.Update(FirstEventMsg{Now: b.now, ID: c.ID})
				b.end(c.ID, Done, false)
			}
		}
	}
	sendRequest := func(team string, age time.Duration) {
		r := b.request(team)
		r.Age = age
		late[r.ID] = age > 0
		finish(b.arrive(r))
	}
	for range 400 {
		for range 4 {
			sendRequest("flood", 0)
			sendRequest("flood", 2*time.Second)
		}
		finish(b.advance(TickInterval))
	}
	require.Greater(t, sent[false], 10*sent[true])
	clear(sent)
	for range 20 {
		sendRequest("small", 2*time.Second)
		finish(b.advance(TickInterval))
	}
	require.Equal(t, 20, sent[true])
}

// TestShedTeamsAreUnsatisfied has a team that its router refuses at the door, for
// want of processor time, bound what others get above their shares: a router counts
// what it refuses at the door too.
func TestShedTeamsAreUnsatisfied(t *testing.T) {
	b := newHarness(t, 20)
	b.m.limits.TokensPerSecond = 200_000
	b.m.Update(MembershipMsg{Now: b.now, Routers: 2, ReportTTL: time.Second})
	for range 400 {
		b.m.Update(PeerTeamsMsg{Now: b.now, Teams: []loads.TeamUse{{Team: "elsewhere", Offered: 2e6, Recent: 2e6, Served: 250_000}}})
		b.m.Update(PeerReportMsg{Now: b.now, Peer: "other", Report: Report{
			Headroom: 3,
		}})
		for range 20 {
			b.m.Update(ShedMsg{Now: b.now, Team: "shed", PromptTokens: 2000})
		}
		b.m.team("shed").served.add(b.now, 1000) // 40,000 a second
		b.advance(TickInterval)
	}
	require.Greater(t, b.m.team("shed").offeredRate(b.now), 1e6)
	require.LessOrEqual(t, b.m.evenCap, max(evenCapFactor*41_000, lenientShareFactor*b.m.baseLevel))
}

// TestSpentAllowanceRefusesAtOnce has a team ask for far more than it may have.
// What its allowance cannot cover within the time that a request may wait is
// refused when it comes; what it can cover waits and is sent.
func TestSpentAllowanceRefusesAtOnce(t *testing.T) {
	b := newHarness(t, 8)
	refused, expired, sentLater := 0, 0, 0
	finish := func(cmds []Cmd) {
		for _, c := range cmds {
			if s, ok := c.(SendCmd); ok {
				if s.PlacementBasis.QueueWait > 0 {
					sentLater++
				}
				b.m.Update(FirstEventMsg{Now: b.now, ID: s.ID})
				b.end(s.ID, Done, false)
			}
		}
	}
	for range 200 {
		for range 10 {
			r := b.request("flood")
			cmds := b.arrive(r)
			finish(cmds)
			if c, ok := findCmd[RefuseCmd](cmds); ok && c.ID == r.ID {
				require.Equal(t, ReasonOverShare, c.Reason)
				require.Positive(t, c.RetryAfter)
				refused++
			}
		}
		cmds := b.advance(TickInterval)
		finish(cmds)
		for _, c := range cmds {
			if _, ok := c.(RefuseCmd); ok {
				expired++
			}
		}
	}
	require.Greater(t, refused, 1000, "of 2,000")
	require.Less(t, expired, refused/20, "few wait in vain")
	require.Positive(t, sentLater, "the allowance covers those that wait")
}

// TestDoorRefusesWhatTheAllowanceCannotCover asks at the door for a team that
// floods: what would be refused as soon as it came is refused there, counted as
// asked for and named over_share; teams within their share are let in, and a
// question that is not answered by a refusal counts nothing.
func TestDoorRefusesWhatTheAllowanceCannotCover(t *testing.T) {
	b := newHarness(t, 8)
	checkAdmission := func(team string) (RefuseCmd, bool) {
		return findCmd[RefuseCmd](b.m.Update(AdmissionCheckMsg{Now: b.now, Request: b.request(team)}))
	}
	_, refused := checkAdmission("flood")
	require.False(t, refused, "nothing is known of the team yet")
	require.Zero(t, b.m.team("flood").offeredRate(b.now))
	finish := func(cmds []Cmd) {
		for _, c := range cmds {
			if s, ok := c.(SendCmd); ok {
				b.m.Update(FirstEventMsg{Now: b.now, ID: s.ID})
				b.end(s.ID, Done, false)
			}
		}
	}
	for range 600 {
		for range 10 {
			if _, refused := checkAdmission("flood"); !refused {
				finish(b.arrive(b.request("flood")))
			}
		}
		finish(b.arrive(b.request("small")))
		finish(b.advance(TickInterval))
	}
	cmd, refused := checkAdmission("flood")
	for range 20 {
		if !refused {
			finish(b.arrive(b.request("flood")))
			cmd, refused = checkAdmission("flood")
		}
	}
	require.True(t, refused)
	require.Equal(t, ReasonOverShare, cmd.Reason)
	require.Positive(t, cmd.RetryAfter)
	_, refused = checkAdmission("small")
	require.False(t, refused)
	offered := b.m.team("flood").offeredRate(b.now)
	require.InDelta(t, 10*40*2200, offered, 0.15*10*40*2200, "what is refused at the door is asked for all the same")
	require.Less(t, b.m.TeamWeight(b.now, "flood"), 6*b.m.TeamWeight(b.now, "small"), "it fills the router only with what enters, not with ten times as much")
}

// TestSurplusReadsNothingAgain has a team above its share ask for a prompt whose
// first server has too much to do: it is not sent to another server, which would
// have to read the prompt's shared part, also where this router does not know who
// keeps it. A team within its share is.
func TestSurplusReadsNothingAgain(t *testing.T) {
	shared, own := PromptPart{ID: 7, Tokens: 2000}, PromptPart{ID: 8, Tokens: 500}
	busy := func(shareRatio float64) (*harness, *requestState, string) {
		b := newHarness(t, 4)
		p := b.m.pool("llm")
		r := &requestState{Request: b.request("red", shared, own), shareRatio: shareRatio}
		preferred := b.m.preferredServer(b.now, p, r)
		preferred.peerLoad.Pending = 1_000_000
		return b, r, preferred.ID
	}
	b, r, preferred := busy(0.5)
	c, ok := b.m.place(b.now, b.m.pool("llm"), r)
	require.True(t, ok)
	require.NotEqual(t, preferred, c.server.ID)
	b, r, _ = busy(1.2)
	_, ok = b.m.place(b.now, b.m.pool("llm"), r)
	require.False(t, ok)
}

// TestNewRequestsFirstWithinTheShare has a team whose other routers serve it less
// than its share: also then an allowance goes to new requests before those that are
// late already.
func TestNewRequestsFirstWithinTheShare(t *testing.T) {
	b := newHarness(t, 4)
	team := b.m.team("red")
	team.tokenBucket = tokenBucket{rate: 1000, tokens: 10}
	b.m.baseLevel, b.m.level = 100_000, 100_000
	p := b.m.pool("llm")
	fresh, late := &requestState{Request: b.request("red")}, &requestState{Request: b.request("red"), late: true}
	b.m.updateTeamState(b.now, p, fresh)
	b.m.updateTeamState(b.now, p, late)
	require.False(t, fresh.throttled)
	require.True(t, late.throttled)
	team.tokenBucket.tokens = 1000
	b.m.updateTeamState(b.now, p, late)
	require.False(t, late.throttled, "the allowance holds more than new requests need")
}

// TestShortestWaitFirst has a team wait with a request that may wait long and one
// that may not: what its allowance covers goes to the second first, though it came
// later, and the first does not count against it.
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

// TestCorrection has routers give a team more than its part where it gets less than
// it may, less where it gets more, and never much of either.
func TestCorrection(t *testing.T) {
	require.InDelta(t, 1, correction(100, 100), 1e-9)
	require.InDelta(t, 1.25, correction(100, 80), 1e-9)
	require.InDelta(t, 0.8, correction(100, 125), 1e-9)
	require.InDelta(t, maxCorrection, correction(100, 0), 1e-9)
	require.InDelta(t, maxCorrection, correction(100, 10), 1e-9)
	require.InDelta(t, 1/maxCorrection, correction(100, 1000), 1e-9)
	require.InDelta(t, 1/maxCorrection, correction(0, 10), 1e-9)
}

// TestTooMuchIsTakenBack has three routers take a flood for theirs alone, as they do
// while its callers change routers: the team gets what it may all the same, not that
// of each of the three.
func TestTooMuchIsTakenBack(t *testing.T) {
	const warmUp, measured = 400, 400 // ticks
	fleet := []*harness{newHarness(t, 20), newHarness(t, 20), newHarness(t, 20)}
	for _, b := range fleet {
		b.m.limits.TokensPerSecond = 200_000
	}
	teams := []map[RequestID]string{{}, {}, {}}
	served, limit := 0.0, 0.0
	for tick := range warmUp + measured {
		for i, b := range fleet {
			cmds := b.advance(TickInterval)
			for range 6 {
				for _, team := range []string{"flood", "other"} {
					r := b.request(team)
					teams[i][r.ID] = team
					cmds = append(cmds, b.arrive(r)...)
				}
			}
			for _, c := range cmds {
				c, ok := c.(SendCmd)
				if !ok {
					continue
				}
				b.m.Update(FirstEventMsg{Now: b.now, ID: c.ID})
				b.end(c.ID, Done, false)
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
	require.Less(t, perSecond, 1.8*limit/measured, "three times without a correction")
	require.Greater(t, perSecond, 0.5*limit/measured)
}

// clearPeerDemand has routers know nothing of what others are asked for at the moment.
func clearPeerDemand(fleet []*harness) {
	for _, b := range fleet {
		for _, u := range b.m.teams {
			u.peers.Recent = 0
		}
	}
}

// TestComeBackWhenTheAllowanceCovers has teams ask for more than they may have, by a little and
// by far: a refused caller is told to come back when its team has been given what it lately
// asked for.
func TestComeBackWhenTheAllowanceCovers(t *testing.T) {
	b := newHarness(t, 2)
	b.m.level, b.m.evenCap = 100_000, 100_000
	after := func(offered, served float32) time.Duration {
		b.m.Update(PeerTeamsMsg{Now: b.now, Teams: []loads.TeamUse{{Team: "red", Offered: offered, Served: served}}})
		return b.m.allowanceDelay(b.now, "red")
	}
	require.Equal(t, time.Second, after(110_000, 100_000))
	require.Equal(t, 3*time.Second, after(200_000, 100_000))
	require.Equal(t, maxAllowanceDelay, after(5e6, 100_000))
	b.m.evenCap = math.Inf(1)
	b.m.level = math.Inf(1)
	require.Equal(t, minAllowanceDelay, after(5e6, 100_000), "nothing is bounded at the moment")
}

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
	fleet := make([]*bench, routers)
	for i := range fleet {
		fleet[i] = newBench(t, 40)
		fleet[i].m.limits.TokensPerSecond = 500_000
	}
	got := map[string]float64{}
	teams := make([]map[RequestID]string, routers)
	for i := range teams {
		teams[i] = map[RequestID]string{}
	}
	// run lets what was sent begin and end at once.
	run := func(i int, cmds []Cmd) {
		for _, c := range cmds {
			if c, ok := c.(SendCmd); ok {
				got[teams[i][c.ID]] += tokenCost(4000, 100)
				fleet[i].m.Update(FirstEventMsg{Now: fleet[i].now, ID: c.ID})
				fleet[i].end(c.ID, Done, false)
			}
		}
	}
	ask := func(i int, team string) {
		r := fleet[i].request(team)
		r.PromptTokens = 4000
		teams[i][r.ID] = team
		run(i, fleet[i].arrive(r))
	}
	for tick := range 12 * second {
		for i, b := range fleet {
			for range 3 {
				ask(i, "everywhere")
			}
			if i == 0 {
				for range 20 {
					ask(i, "one")
				}
			}
			run(i, b.pass(TickInterval))
		}
		if tick%8 == 0 {
			exchange(fleet)
		}
		if tick%second == 0 {
			if tick > 8*second {
				share := min(fleet[0].m.level, fleet[0].m.even)
				require.Less(t, share, 2e6, "shares are bounded")
				require.InEpsilon(t, share, got["everywhere"], 0.35, "second %d", tick/second)
				require.InEpsilon(t, share, got["one"], 0.35, "second %d", tick/second)
			}
			clear(got)
		}
	}
}

// exchange tells all routers what the others see.
func exchange(fleet []*bench) {
	sees := make([][]loads.TeamUse, len(fleet))
	for i, b := range fleet {
		sees[i] = b.m.Teams(b.now)
	}
	for i, b := range fleet {
		sum := make(map[string]loads.TeamUse)
		for j := range fleet {
			if j == i {
				continue
			}
			b.m.Update(PeerReportMsg{Now: b.now, Peer: fmt.Sprint(j), Report: fleet[j].m.Report(b.now)})
			for _, u := range sees[j] {
				all := sum[u.Team]
				sum[u.Team] = loads.TeamUse{Team: u.Team, Offered: all.Offered + u.Offered, Recent: all.Recent + u.Recent, Served: all.Served + u.Served}
			}
		}
		b.m.Update(PeerTeamsMsg{Now: b.now, Teams: slices.Collect(maps.Values(sum))})
		b.m.Update(MembershipMsg{Now: b.now, Routers: len(fleet), ReportTTL: time.Second})
	}
}

// TestCallersMoveRouters has the callers of a flooding team leave one router for
// another: within two seconds the new one has the team's share.
func TestCallersMoveRouters(t *testing.T) {
	fleet := []*bench{newBench(t, 20), newBench(t, 20)}
	for _, b := range fleet {
		b.m.limits.TokensPerSecond = 200_000
	}
	flood := func(at *bench, ticks int) {
		for tick := range ticks {
			for _, team := range []string{"moving", "other"} {
				b := at
				if team == "other" {
					b = fleet[1]
				}
				for range 6 {
					r := b.request(team)
					if c, ok := find[SendCmd](b.arrive(r)); ok {
						b.m.Update(FirstEventMsg{Now: b.now, ID: c.ID})
						b.end(c.ID, Done, false)
					}
				}
			}
			for _, b := range fleet {
				b.pass(TickInterval)
			}
			if tick%8 == 0 {
				exchange(fleet)
			}
		}
	}
	flood(fleet[0], 400)
	before := fleet[1].m.team("moving").allowance.rate
	flood(fleet[1], 80)
	after := fleet[1].m.team("moving").allowance.rate
	most := min(fleet[1].m.level, fleet[1].m.even)
	require.Less(t, before, most/2)
	require.Greater(t, after, 0.9*most)
	require.Less(t, fleet[0].m.team("moving").allowance.rate, 0.5*most)
}

// TestNewRequestsFirst gives what a team above its share may have to requests that
// can still meet their objective before those that are late already; a team
// within its share has both served.
func TestNewRequestsFirst(t *testing.T) {
	b := newBench(t, 20)
	b.m.limits.TokensPerSecond = 50_000 // new requests alone ask for more than four times that
	sent := map[bool]int{}
	late := map[RequestID]bool{}
	run := func(cmds []Cmd) {
		for _, c := range cmds {
			if c, ok := c.(SendCmd); ok {
				sent[late[c.ID]]++
				b.m.Update(FirstEventMsg{Now: b.now, ID: c.ID})
				b.end(c.ID, Done, false)
			}
		}
	}
	ask := func(team string, age time.Duration) {
		r := b.request(team)
		r.Age = age
		late[r.ID] = age > 0
		run(b.arrive(r))
	}
	for range 400 {
		for range 4 {
			ask("flood", 0)
			ask("flood", 2*time.Second)
		}
		run(b.pass(TickInterval))
	}
	require.Greater(t, sent[false], 10*sent[true])
	clear(sent)
	for range 20 {
		ask("small", 2*time.Second)
		run(b.pass(TickInterval))
	}
	require.Equal(t, 20, sent[true])
}

// TestShedTeamsAreUnsatisfied has a team that its router refuses at the door, for
// want of processor time, bound what others get above their shares: a router counts
// what it refuses at the door too.
func TestShedTeamsAreUnsatisfied(t *testing.T) {
	b := newBench(t, 20)
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
		b.pass(TickInterval)
	}
	require.Greater(t, b.m.team("shed").offeredRate(b.now), 1e6)
	require.LessOrEqual(t, b.m.even, max(evenWithin*41_000, evenShares*b.m.base))
}

// TestSpentAllowanceRefusesAtOnce has a team ask for far more than it may have.
// What its allowance cannot cover within the time that a request may wait is
// refused when it comes; what it can cover waits and is sent.
func TestSpentAllowanceRefusesAtOnce(t *testing.T) {
	b := newBench(t, 8)
	refused, waited, sentLater := 0, 0, 0
	later := func(cmds []Cmd) {
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
			later(cmds)
			if c, ok := find[RefuseCmd](cmds); ok && c.ID == r.ID {
				require.Equal(t, ReasonOverShare, c.Reason)
				require.Positive(t, c.RetryAfter)
				refused++
			}
		}
		cmds := b.pass(TickInterval)
		later(cmds)
		for _, c := range cmds {
			if _, ok := c.(RefuseCmd); ok {
				waited++
			}
		}
	}
	require.Greater(t, refused, 1000, "of 2,000")
	require.Less(t, waited, refused/20, "few wait in vain")
	require.Positive(t, sentLater, "the allowance covers those that wait")
}

// TestDoorRefusesWhatTheAllowanceCannotCover asks at the door for a team that
// floods: what would be refused as soon as it came is refused there, counted as
// asked for and named over_share; teams within their share are let in, and a
// question that is not answered by a refusal counts nothing.
func TestDoorRefusesWhatTheAllowanceCannotCover(t *testing.T) {
	b := newBench(t, 8)
	door := func(team string) (RefuseCmd, bool) {
		return find[RefuseCmd](b.m.Update(AdmissionCheckMsg{Now: b.now, Request: b.request(team)}))
	}
	_, refused := door("flood")
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
			if _, refused := door("flood"); !refused {
				finish(b.arrive(b.request("flood")))
			}
		}
		finish(b.arrive(b.request("small")))
		finish(b.pass(TickInterval))
	}
	cmd, refused := door("flood")
	for range 20 {
		if !refused {
			finish(b.arrive(b.request("flood")))
			cmd, refused = door("flood")
		}
	}
	require.True(t, refused)
	require.Equal(t, ReasonOverShare, cmd.Reason)
	require.Positive(t, cmd.RetryAfter)
	_, refused = door("small")
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
	busy := func(over float64) (*bench, *run, string) {
		b := newBench(t, 4)
		p := b.m.pool("llm")
		r := &run{Request: b.request("red", shared, own), over: over}
		home := b.m.firstHolder(b.now, p, r)
		home.others.Pending = 1_000_000
		return b, r, home.ID
	}
	b, r, home := busy(0.5)
	c, ok := b.m.place(b.now, b.m.pool("llm"), r)
	require.True(t, ok)
	require.NotEqual(t, home, c.server.ID)
	b, r, _ = busy(1.2)
	_, ok = b.m.place(b.now, b.m.pool("llm"), r)
	require.False(t, ok)
}

// TestNewRequestsFirstWithinTheShare has a team whose other routers serve it less
// than its share: also then an allowance goes to new requests before those that are
// late already.
func TestNewRequestsFirstWithinTheShare(t *testing.T) {
	b := newBench(t, 4)
	team := b.m.team("red")
	team.allowance = allowance{rate: 1000, tokens: 10}
	b.m.base, b.m.level = 100_000, 100_000
	p := b.m.pool("llm")
	fresh, late := &run{Request: b.request("red")}, &run{Request: b.request("red"), late: true}
	b.m.rate(b.now, p, fresh)
	b.m.rate(b.now, p, late)
	require.False(t, fresh.above)
	require.True(t, late.above)
	team.allowance.tokens = 1000
	b.m.rate(b.now, p, late)
	require.False(t, late.above, "the allowance holds more than new requests need")
}

// TestShortestWaitFirst has a team wait with a request that may wait long and one
// that may not: what its allowance covers goes to the second first, though it came
// later, and the first does not count against it.
func TestShortestWaitFirst(t *testing.T) {
	var q queue
	patient := &run{Request: Request{ID: 1, Team: "red", PromptTokens: 5000}, waitUntil: 120 * time.Millisecond}
	urgent := &run{Request: Request{ID: 2, Team: "red", PromptTokens: 1000}, arrivedAt: time.Millisecond, waitUntil: 60 * time.Millisecond}
	q.add(patient)
	require.Zero(t, q.asked("red", urgent.waitUntil))
	require.Equal(t, 5000.0, q.asked("red", patient.waitUntil))
	q.add(urgent)
	q.sort()
	require.Equal(t, []*run{urgent, patient}, q.waiting)
}

// TestCorrection has routers give a team more than its part where it gets less than
// it may, less where it gets more, and never much of either.
func TestCorrection(t *testing.T) {
	require.InDelta(t, 1, correction(100, 100), 1e-9)
	require.InDelta(t, 1.25, correction(100, 80), 1e-9)
	require.InDelta(t, 0.8, correction(100, 125), 1e-9)
	require.InDelta(t, correctMost, correction(100, 0), 1e-9)
	require.InDelta(t, correctMost, correction(100, 10), 1e-9)
	require.InDelta(t, 1/correctMost, correction(100, 1000), 1e-9)
	require.InDelta(t, 1/correctMost, correction(0, 10), 1e-9)
}

// TestTooMuchIsTakenBack has three routers take a flood for theirs alone, as they do
// while its callers change routers: the team gets what it may all the same, not that
// of each of the three.
func TestTooMuchIsTakenBack(t *testing.T) {
	const warmUp, measured = 400, 400 // ticks
	fleet := []*bench{newBench(t, 20), newBench(t, 20), newBench(t, 20)}
	for _, b := range fleet {
		b.m.limits.TokensPerSecond = 200_000
	}
	teams := []map[RequestID]string{{}, {}, {}}
	got, most := 0.0, 0.0
	for tick := range warmUp + measured {
		for i, b := range fleet {
			cmds := b.pass(TickInterval)
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
					got += tokenCost(2000, 100)
				}
			}
		}
		if tick%8 == 0 {
			exchange(fleet)
		}
		forgetRecent(fleet)
		if tick >= warmUp {
			most += min(fleet[0].m.level, fleet[0].m.even)
		}
	}
	perSecond := got / measured / TickInterval.Seconds()
	require.Less(t, perSecond, 1.8*most/measured, "three times without a correction")
	require.Greater(t, perSecond, 0.5*most/measured)
}

// forgetRecent has routers know nothing of what others are asked for at the moment.
func forgetRecent(fleet []*bench) {
	for _, b := range fleet {
		for _, u := range b.m.teams {
			u.others.Recent = 0
		}
	}
}

// TestComeBackWhenTheAllowanceCovers has teams ask for more than they may have, by a little and
// by far: a refused caller is told to come back when its team has been given what it lately
// asked for.
func TestComeBackWhenTheAllowanceCovers(t *testing.T) {
	b := newBench(t, 2)
	b.m.level, b.m.even = 100_000, 100_000
	after := func(offered, served float32) time.Duration {
		b.m.Update(PeerTeamsMsg{Now: b.now, Teams: []loads.TeamUse{{Team: "red", Offered: offered, Served: served}}})
		return b.m.overdue(b.now, "red")
	}
	require.Equal(t, time.Second, after(110_000, 100_000))
	require.Equal(t, 3*time.Second, after(200_000, 100_000))
	require.Equal(t, overdueMost, after(5e6, 100_000))
	b.m.even = math.Inf(1)
	b.m.level = math.Inf(1)
	require.Equal(t, overdueLeast, after(5e6, 100_000), "nothing is bounded at the moment")
}

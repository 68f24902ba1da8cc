package queue

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/stretchr/testify/require"
)

var reportKey = fleet.DemandKey{Work: "report", Team: "ajax", Class: fleet.Ordinary}

func newTestMachine(limit int) *Machine {
	m := New(Config{
		MaxWaiting: 100, MaxWait: time.Minute, RetryBudget: 0.1,
		MaxWaitingPerTeam: map[fleet.Team]int{"ajax": limit},
	})
	m.Update(AgentUpMsg{Now: 1, Agent: "a", Works: []fleet.Work{"report"}})
	return m
}

func arriveMsg(now time.Duration, id RequestID) ArriveMsg {
	return ArriveMsg{Now: now, Request: Request{ID: id, Key: reportKey}}
}

func claimMsg(seq uint64) ClaimMsg {
	return ClaimMsg{Now: 2, Claim: fleet.ClaimID{Agent: "a", Incarnation: 1, Seq: seq}, Key: reportKey}
}

func findRefusal(t *testing.T, cmds []Command) RefuseCmd {
	t.Helper()
	for _, c := range cmds {
		if r, ok := c.(RefuseCmd); ok {
			return r
		}
	}
	t.Fatalf("no refusal in %v", cmds)
	return RefuseCmd{}
}

// TestFullTeamIsRefusedAtOnce holds that a full team gets its answer in the
// same step, with when to come back, and that another team does not suffer.
func TestFullTeamIsRefusedAtOnce(t *testing.T) {
	m := newTestMachine(2)
	m.Update(arriveMsg(2, 1))
	m.Update(arriveMsg(2, 2))
	r := findRefusal(t, m.Update(arriveMsg(2, 3)))
	require.Equal(t, ReasonTeamFull, r.Reason)
	require.Equal(t, RanNo, r.Ran)
	require.Positive(t, r.RetryAfter)
	other := ArriveMsg{Now: 2, Request: Request{ID: 4, Key: fleet.DemandKey{Work: "report", Team: "basel"}}}
	require.Empty(t, m.Update(other))
}

// TestHopelessDeadlineIsRefusedAtOnce holds that a request which would come
// too late, by the measured drain rate, is told so when it arrives, and that
// Retry-After follows the rate.
func TestHopelessDeadlineIsRefusedAtOnce(t *testing.T) {
	m := newTestMachine(1000)
	now := time.Duration(2)
	id := RequestID(0)
	for seq := range uint64(40) { // four claims a second, for ten seconds
		now += 250 * time.Millisecond
		for range 3 {
			id++
			m.Update(arriveMsg(now, id))
		}
		c := claimMsg(seq + 1)
		c.Now = now
		m.Update(c)
	}
	late := arriveMsg(now, id+1)
	late.Request.Deadline = now + 5*time.Second // some twenty seconds wait
	r := findRefusal(t, m.Update(late))
	require.Equal(t, ReasonDeadline, r.Reason)
	require.InDelta(t, 20, r.RetryAfter.Seconds(), 12)
	late.Request.Deadline = now + 50*time.Second
	require.Empty(t, m.Update(late))
}

// TestNoServerIsRefusedAtOnce holds that work that nobody runs does not wait.
func TestNoServerIsRefusedAtOnce(t *testing.T) {
	m := newTestMachine(10)
	m.Update(AgentLeavingMsg{Now: 2, Agent: "a"})
	require.Equal(t, ReasonNoServer, findRefusal(t, m.Update(arriveMsg(3, 1))).Reason)
}

// TestDoubtIsNotRepeated holds what may follow a run that nobody knows of.
func TestDoubtIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		answered   bool
		ran        Ran
		retried    bool
	}{
		{"may not be repeated", false, false, RanUnknown, false},
		{"may be repeated", true, false, RanNo, true},
		{"has begun to answer", true, true, RanUnknown, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMachine(10)
			a := arriveMsg(2, 1)
			a.Request.Repeatable = c.repeatable
			m.Update(a)
			m.Update(claimMsg(1))
			if c.answered {
				m.Update(AnswerStartedMsg{Now: 3, ID: 1})
			}
			cmds := m.Update(EndMsg{Now: 4, ID: 1, Outcome: OutcomeUnknown})
			require.Equal(t, c.retried, m.Waiting() == 1)
			if !c.retried {
				require.Equal(t, c.ran, findRefusal(t, cmds).Ran)
			}
		})
	}
}

// TestRetriesAreBudgeted holds that a fleet that fails everything is not asked
// again and again.
func TestRetriesAreBudgeted(t *testing.T) {
	m := newTestMachine(10_000)
	retries := 0
	for id := range RequestID(500) {
		a := arriveMsg(2, id+1)
		a.Request.Repeatable = true
		m.Update(a)
		for m.Waiting() > 0 && retries < 5000 {
			m.Update(claimMsg(uint64(id)))
			m.Update(EndMsg{Now: 2, ID: id + 1, Outcome: OutcomeUnknown})
			retries++
		}
	}
	retries -= 500
	require.InDelta(t, 500*0.1+initialTokens, retries, 2)
}

// TestUnrunRequestKeepsItsPlace holds that a request that an agent gave back
// goes to the front, and that an agent that gives back for ever is given up on.
func TestUnrunRequestKeepsItsPlace(t *testing.T) {
	m := newTestMachine(10)
	m.Update(arriveMsg(2, 1))
	m.Update(arriveMsg(2, 2))
	for i := range uint64(maxReturns) {
		cmds := m.Update(claimMsg(i + 1))
		require.Equal(t, RequestID(1), cmds[0].(RunCmd).ID)
		cmds = m.Update(EndMsg{Now: 2, ID: 1, Outcome: OutcomeNotRun})
		if i == maxReturns-1 {
			require.Equal(t, RanNo, findRefusal(t, cmds).Ran)
		}
	}
	require.Equal(t, 1, m.Waiting())
}

// TestLostAgentAbortsItsRuns holds that runs without an answer are given up
// with their agent, and that answers which have begun are not.
func TestLostAgentAbortsItsRuns(t *testing.T) {
	m := newTestMachine(10)
	m.Update(arriveMsg(2, 1))
	m.Update(arriveMsg(2, 2))
	m.Update(claimMsg(1))
	m.Update(claimMsg(2))
	m.Update(AnswerStartedMsg{Now: 3, ID: 2})
	require.Equal(t, []Command{AbortCmd{ID: 1}}, m.Update(AgentDownMsg{Now: 4, Agent: "a"}))
}

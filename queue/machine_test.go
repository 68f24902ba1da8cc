package queue

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/stretchr/testify/require"
)

var reportKey = fleet.DemandKey{Work: "report", Team: "ajax", Class: fleet.Ordinary}

// newTestMachine returns a machine with one agent, in which at most limit
// requests of team ajax may wait.
func newTestMachine(limit int) *Machine {
	m := New(Config{
		MaxWaiting: 100, MaxWait: time.Minute, RetryBudget: 0.1,
		MaxWaitingPerTeam: map[fleet.Team]int{"ajax": limit},
	})
	m.Update(AgentUpMsg{Now: 1, Agent: "a", Works: []fleet.Work{"report"}})
	return m
}

func requestMsg(now time.Duration, id RequestID) RequestMsg {
	return RequestMsg{Now: now, Request: Request{ID: id, Key: reportKey}}
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

// TestFullTeamIsRefusedAtOnce checks that a request of a team at its limit is
// refused in the same update, with a Retry-After time, and that another team is
// not affected.
func TestFullTeamIsRefusedAtOnce(t *testing.T) {
	m := newTestMachine(2)
	m.Update(requestMsg(2, 1))
	m.Update(requestMsg(2, 2))
	r := findRefusal(t, m.Update(requestMsg(2, 3)))
	require.Equal(t, ReasonTeamFull, r.Reason)
	require.Equal(t, RanNo, r.Ran)
	require.Positive(t, r.RetryAfter)
	other := RequestMsg{Now: 2, Request: Request{ID: 4, Key: fleet.DemandKey{Work: "report", Team: "basel"}}}
	require.Empty(t, m.Update(other))
}

// TestHopelessDeadlineIsRefusedAtOnce checks that a request is refused on
// arrival if it cannot meet its deadline at the measured drain rate, and that
// Retry-After reflects the rate.
func TestHopelessDeadlineIsRefusedAtOnce(t *testing.T) {
	m := newTestMachine(1000)
	now := time.Duration(2)
	id := RequestID(0)
	for seq := range uint64(40) { // four claims a second for ten seconds
		now += 250 * time.Millisecond
		for range 3 {
			id++
			m.Update(requestMsg(now, id))
		}
		c := claimMsg(seq + 1)
		c.Now = now
		m.Update(c)
	}
	late := requestMsg(now, id+1)
	late.Request.Deadline = now + 5*time.Second // the expected wait is about 20 s
	r := findRefusal(t, m.Update(late))
	require.Equal(t, ReasonDeadline, r.Reason)
	require.InDelta(t, 20, r.RetryAfter.Seconds(), 12)
	late.Request.Deadline = now + 50*time.Second
	require.Empty(t, m.Update(late))
}

// TestNoServerIsRefusedAtOnce checks that a request is refused immediately if no
// server runs its work.
func TestNoServerIsRefusedAtOnce(t *testing.T) {
	m := newTestMachine(10)
	m.Update(AgentLeavingMsg{Now: 2, Agent: "a"})
	require.Equal(t, ReasonNoServer, findRefusal(t, m.Update(requestMsg(3, 1))).Reason)
}

// TestDoubtIsNotRepeated checks that a run with an unknown outcome is retried
// only if the request is repeatable and no response has started.
func TestDoubtIsNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name            string
		repeatable      bool
		responseStarted bool
		ran             Ran
		retried         bool
	}{
		{"may not be repeated", false, false, RanUnknown, false},
		{"may be repeated", true, false, RanNo, true},
		{"has begun to answer", true, true, RanUnknown, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newTestMachine(10)
			msg := requestMsg(2, 1)
			msg.Request.Repeatable = c.repeatable
			m.Update(msg)
			m.Update(claimMsg(1))
			if c.responseStarted {
				m.Update(ResponseStartedMsg{Now: 3, ID: 1})
			}
			cmds := m.Update(EndMsg{Now: 4, ID: 1, Outcome: OutcomeUnknown})
			require.Equal(t, c.retried, m.Waiting() == 1)
			if !c.retried {
				require.Equal(t, c.ran, findRefusal(t, cmds).Ran)
			}
		})
	}
}

// TestRetriesAreBudgeted checks that the number of retries stays within the
// retry budget if every run fails.
func TestRetriesAreBudgeted(t *testing.T) {
	m := newTestMachine(10_000)
	retries := 0
	for id := range RequestID(500) {
		msg := requestMsg(2, id+1)
		msg.Request.Repeatable = true
		m.Update(msg)
		for m.Waiting() > 0 && retries < 5000 {
			m.Update(claimMsg(uint64(id)))
			m.Update(EndMsg{Now: 2, ID: id + 1, Outcome: OutcomeUnknown})
			retries++
		}
	}
	retries -= 500
	require.InDelta(t, 500*0.1+initialRetryTokens, retries, 2)
}

// TestUnrunRequestKeepsItsPlace checks that a request that an agent returns
// without running goes to the front of its queue, and that it is refused after
// maxReturns returns.
func TestUnrunRequestKeepsItsPlace(t *testing.T) {
	m := newTestMachine(10)
	m.Update(requestMsg(2, 1))
	m.Update(requestMsg(2, 2))
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

// TestLostAgentAbortsItsRuns checks that the loss of an agent aborts its runs
// without a response, but not those whose response has started.
func TestLostAgentAbortsItsRuns(t *testing.T) {
	m := newTestMachine(10)
	m.Update(requestMsg(2, 1))
	m.Update(requestMsg(2, 2))
	m.Update(claimMsg(1))
	m.Update(claimMsg(2))
	m.Update(ResponseStartedMsg{Now: 3, ID: 2})
	require.Equal(t, []Command{AbortCmd{ID: 1}}, m.Update(AgentDownMsg{Now: 4, Agent: "a"}))
}

package sched

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/stretchr/testify/require"
)

func demandKey(team fleet.Team, class fleet.Class) fleet.DemandKey {
	return fleet.DemandKey{Work: "report", Team: team, Class: class}
}

// newTestMachine returns a machine with two teams of equal share and one
// connected router. Its server is not serving yet.
func newTestMachine(cfg Config) *Machine {
	cfg.Works = []fleet.Work{"report"}
	cfg.Shares = map[fleet.Team]float64{"ajax": 1, "basel": 1}
	cfg.ShareEvery = time.Second
	m := New(cfg)
	m.Update(RouterUpMsg{Now: 1, Router: "r"})
	return m
}

func demandMsg(now time.Duration, waiting int, keys ...fleet.DemandKey) DemandMsg {
	msg := DemandMsg{Now: now, Router: "r"}
	for _, k := range keys {
		msg.Counts = append(msg.Counts, fleet.QueueCount{Key: k, Waiting: waiting})
	}
	return msg
}

func claimCmds(cmds []Command) []ClaimCmd {
	var out []ClaimCmd
	for _, c := range cmds {
		if claim, ok := c.(ClaimCmd); ok {
			out = append(out, claim)
		}
	}
	return out
}

// serveOne delivers the claimed request, ends it after one second, and returns
// the claims made when it ends.
func serveOne(t *testing.T, m *Machine, now time.Duration, c ClaimCmd) []ClaimCmd {
	t.Helper()
	m.Update(ArriveMsg{Now: now, Seq: c.Seq, Remaining: 1000})
	return claimCmds(m.Update(EndMsg{Now: now + time.Second, Seq: c.Seq}))
}

// TestCatchUpIsCapped checks that after a partition heals, a team that received
// far less service is served at most CatchUp ahead of the other team.
func TestCatchUpIsCapped(t *testing.T) {
	m := newTestMachine(Config{Slots: 1, CatchUp: 10 * time.Second})
	m.Update(TotalsMsg{Now: 1, Rows: []fleet.ServiceRow{{Team: "basel", Service: time.Hour}}})
	m.Update(demandMsg(2, 1000, demandKey("ajax", fleet.Ordinary), demandKey("basel", fleet.Ordinary)))
	next := claimCmds(m.Update(HealthMsg{Now: 3, Serving: true}))
	now := time.Duration(3)
	consecutive := 0
	for range 30 {
		require.Len(t, next, 1)
		if next[0].Key.Team == "basel" {
			break
		}
		consecutive++
		next = serveOne(t, m, now, next[0])
		now += time.Second
	}
	require.InDelta(t, 10, consecutive, 2)
}

// TestClassesWithinATeam checks that a team's requests are claimed in the order
// urgent, ordinary, batch.
func TestClassesWithinATeam(t *testing.T) {
	m := newTestMachine(Config{Slots: 3})
	m.Update(demandMsg(2, 1, demandKey("ajax", fleet.Batch), demandKey("ajax", fleet.Urgent), demandKey("ajax", fleet.Ordinary)))
	var got []fleet.Class
	for _, c := range claimCmds(m.Update(HealthMsg{Now: 3, Serving: true})) {
		got = append(got, c.Key.Class)
	}
	require.Equal(t, []fleet.Class{fleet.Urgent, fleet.Ordinary, fleet.Batch}, got)
}

// TestUrgentGoesAheadWithinItsBound checks that urgent work is claimed before
// another team's work only while its own team is less than UrgentBorrow ahead.
func TestUrgentGoesAheadWithinItsBound(t *testing.T) {
	for _, c := range []struct {
		ahead time.Duration
		first fleet.Team
	}{{time.Second, "basel"}, {3 * time.Second, "ajax"}} {
		m := newTestMachine(Config{Slots: 1, UrgentBorrow: 2 * time.Second})
		m.Update(TotalsMsg{Now: 1, Rows: []fleet.ServiceRow{{Team: "basel", Service: c.ahead}}})
		m.Update(demandMsg(2, 1, demandKey("ajax", fleet.Ordinary), demandKey("basel", fleet.Urgent)))
		next := claimCmds(m.Update(HealthMsg{Now: 3, Serving: true}))
		require.Equal(t, c.first, next[0].Key.Team, "ahead by %v", c.ahead)
	}
}

// TestSilentRouterIsSuspended checks that an agent stops claiming from a router
// that leaves a claim unanswered, and resumes when the router is alive again.
func TestSilentRouterIsSuspended(t *testing.T) {
	m := newTestMachine(Config{Slots: 1})
	m.Update(demandMsg(2, 5, demandKey("ajax", fleet.Ordinary)))
	require.Len(t, claimCmds(m.Update(HealthMsg{Now: 3, Serving: true})), 1)
	now := time.Duration(3)
	for range 40 {
		now += TickInterval
		require.Empty(t, claimCmds(m.Update(TickMsg{Now: now})))
	}
	require.False(t, m.Busy(), "the claim must have expired")
	require.Len(t, claimCmds(m.Update(RouterAliveMsg{Now: now, Router: "r"})), 1)
	late := m.Update(ArriveMsg{Now: now, Seq: 1})
	require.Contains(t, late, RejectCmd{Seq: 1}, "the request of the expired first claim must be rejected")
}

// TestOpenClaimsAreUsedOnce checks that each open claim starts at most one
// request, even after that request has ended, and that a request with an open
// claim is rejected if no slot is idle.
func TestOpenClaimsAreUsedOnce(t *testing.T) {
	m := newTestMachine(Config{Slots: 2})
	var free FreeCmd
	for _, c := range m.Update(HealthMsg{Now: 2, Serving: true}) {
		if f, ok := c.(FreeCmd); ok {
			free = f
		}
	}
	require.Equal(t, 2, free.Slots)
	key := demandKey("ajax", fleet.Ordinary)
	first := ArriveMsg{Now: 3, Seq: free.First, Key: key}
	require.Contains(t, m.Update(first), StartCmd{Seq: first.Seq})
	require.Contains(t, m.Update(first), RejectCmd{Seq: first.Seq})
	m.Update(EndMsg{Now: 3, Seq: first.Seq})
	require.Contains(t, m.Update(first), RejectCmd{Seq: first.Seq}, "the open claim was used by a request that has ended")
	m.Update(demandMsg(4, 2, key)) // both slots are claimed
	second := ArriveMsg{Now: 5, Seq: free.First + 1, Key: key}
	require.Contains(t, m.Update(second), RejectCmd{Seq: second.Seq}, "no slot is idle")
}

// TestReadyRequestsAreRejectedWhenServerFails checks that requests that have
// arrived but not started are rejected when the server stops serving.
func TestReadyRequestsAreRejectedWhenServerFails(t *testing.T) {
	m := newTestMachine(Config{Slots: 1, ClaimAhead: 1})
	m.Update(demandMsg(2, 5, demandKey("ajax", fleet.Ordinary)))
	next := claimCmds(m.Update(HealthMsg{Now: 3, Serving: true}))
	require.Len(t, next, 2)
	require.Contains(t, m.Update(ArriveMsg{Now: 4, Seq: next[0].Seq}), StartCmd{Seq: next[0].Seq})
	require.NotContains(t, m.Update(ArriveMsg{Now: 4, Seq: next[1].Seq}), StartCmd{Seq: next[1].Seq})
	require.Contains(t, m.Update(HealthMsg{Now: 5}), RejectCmd{Seq: next[1].Seq})
	require.Equal(t, 1, m.Held())
}

// TestLiftsGoByWhatIsKnown checks that a team that returns from idle is lifted
// to the known service of the other teams, without the estimated service of
// other agents. A lift is permanent, so an overestimate would never be undone.
func TestLiftsGoByWhatIsKnown(t *testing.T) {
	m := newTestMachine(Config{Slots: 1, PeerSlotRatio: map[fleet.Work]float64{"report": 100}})
	m.Update(demandMsg(2, 1000, demandKey("ajax", fleet.Ordinary)))
	next := claimCmds(m.Update(HealthMsg{Now: 3, Serving: true}))
	now := time.Duration(3)
	for range 4 {
		next = serveOne(t, m, now, next[0])
		now += time.Second
	}
	m.Update(demandMsg(now, 1, demandKey("basel", fleet.Ordinary)))
	for _, team := range m.Teams() {
		if team.Team == "basel" {
			require.InDelta(t, 4000, team.LiftMS, 1100)
		}
	}
}

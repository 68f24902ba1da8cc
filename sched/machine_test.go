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

// newTestMachine returns a machine with one slot and a router with demand of two
// equal teams.
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
		msg.Counts = append(msg.Counts, fleet.Count{Key: k, Waiting: waiting})
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

// serveOne lets the machine run one request of a second and returns its team.
func serveOne(t *testing.T, m *Machine, now time.Duration, c ClaimCmd) []ClaimCmd {
	t.Helper()
	m.Update(ArriveMsg{Now: now, Seq: c.Seq, Remaining: 1000})
	return claimCmds(m.Update(EndMsg{Now: now + time.Second, Seq: c.Seq}))
}

// TestCatchUpIsCapped holds that after a partition heals a team that had far
// less service is repaid no more than CatchUp ahead of the other.
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

// TestClassesWithinATeam holds the order urgent, ordinary, batch.
func TestClassesWithinATeam(t *testing.T) {
	m := newTestMachine(Config{Slots: 3})
	m.Update(demandMsg(2, 1, demandKey("ajax", fleet.Batch), demandKey("ajax", fleet.Urgent), demandKey("ajax", fleet.Ordinary)))
	var got []fleet.Class
	for _, c := range claimCmds(m.Update(HealthMsg{Now: 3, Serving: true})) {
		got = append(got, c.Key.Class)
	}
	require.Equal(t, []fleet.Class{fleet.Urgent, fleet.Ordinary, fleet.Batch}, got)
}

// TestUrgentGoesAheadWithinItsBound holds that urgent work overtakes another
// team's turn while its own team is less than UrgentBorrow ahead.
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

// TestSilentRouterIsSuspended holds that an agent stops claiming from a router
// that leaves a claim unanswered, and goes on when it is heard of.
func TestSilentRouterIsSuspended(t *testing.T) {
	m := newTestMachine(Config{Slots: 1})
	m.Update(demandMsg(2, 5, demandKey("ajax", fleet.Ordinary)))
	require.Len(t, claimCmds(m.Update(HealthMsg{Now: 3, Serving: true})), 1)
	now := time.Duration(3)
	for range 40 {
		now += TickEvery
		require.Empty(t, claimCmds(m.Update(TickMsg{Now: now})))
	}
	require.False(t, m.Busy(), "the claim has ended")
	require.Len(t, claimCmds(m.Update(RouterAliveMsg{Now: now, Router: "r"})), 1)
	late := m.Update(ArriveMsg{Now: now, Seq: 1})
	require.Contains(t, late, RejectCmd{Seq: 1}, "the first claim's request comes too late to run")
}

// TestOpenClaimsAreUsedOnce holds that each open claim lets one request start,
// also after that request has ended, and that one without an idle slot is
// turned away.
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
	require.Contains(t, m.Update(first), RejectCmd{Seq: first.Seq}, "it ran, and is over")
	m.Update(demandMsg(4, 2, key)) // two claims take both slots
	second := ArriveMsg{Now: 5, Seq: free.First + 1, Key: key}
	require.Contains(t, m.Update(second), RejectCmd{Seq: second.Seq}, "no slot is idle")
}

// TestReadyRequestsAreRejectedWhenServerFails holds that a server that fails gives back what
// has come and not started.
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

// TestLiftsGoByWhatIsKnown holds that a team which comes back is lifted to the
// service that the others have had, not to what other agents are expected to
// have given them: a lift is for good.
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

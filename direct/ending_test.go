package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWhatMayHaveRun is never repeated where it may not be, and never refused.
func TestWhatMayHaveRun(t *testing.T) {
	for _, o := range []Outcome{Failed, Broken, Hung} {
		b := newHarness(t, 3)
		r := b.request("red")
		r.MayRepeat = false
		b.sent(b.arrive(r))
		fail, ok := findCmd[FailCmd](b.end(r.ID, o, true))
		require.True(t, ok, o.String())
		require.Equal(t, ReasonAtMostOnce, fail.Reason)
	}
}

// TestNotRunGoesElsewhere sends what has not run to another server, as often as
// the route allows; then it is refused.
func TestNotRunGoesElsewhere(t *testing.T) {
	b := newHarness(t, 3)
	r := b.request("red")
	r.MayRepeat = false
	first := b.sent(b.arrive(r))
	second := b.sent(b.end(r.ID, NotRun, true))
	require.NotEqual(t, first, second)
	refused, ok := findCmd[RefuseCmd](b.end(r.ID, NotRun, true))
	require.True(t, ok)
	require.Equal(t, ReasonAttempts, refused.Reason)
}

// TestUnsentCostsNoAttempt goes on to other servers where nothing was sent.
func TestUnsentCostsNoAttempt(t *testing.T) {
	b := newHarness(t, 4)
	r := b.request("red")
	r.Attempts = 1
	b.sent(b.arrive(r))
	b.sent(b.end(r.ID, Unsent, true))
	b.sent(b.end(r.ID, Unsent, true))
}

// TestRetriesKeepToTheBudget fails everything: retries stay within the budget
// of the window, for one router's part of it.
func TestRetriesKeepToTheBudget(t *testing.T) {
	for _, routers := range []int{1, 4} {
		b := newHarness(t, 4)
		b.m.Update(MembershipMsg{Now: b.now, Routers: routers, ReportTTL: time.Second})
		retries := 0
		for range 100 {
			r := b.request("red")
			r.Service = "app"
			if _, ok := findCmd[SendCmd](b.arrive(r)); !ok {
				b.advance(time.Second)
				continue
			}
			if _, ok := findCmd[SendCmd](b.end(r.ID, Failed, true)); ok {
				retries++
				b.end(r.ID, Done, false)
			}
		}
		require.LessOrEqual(t, float64(retries), 0.2*100+10/float64(routers))
		require.Positive(t, retries)
	}
}

// TestEjection takes a server out that fails where others do not, and brings it
// back with one request that may be repeated.
func TestEjection(t *testing.T) {
	b := newHarness(t, 4)
	ejected := ""
	for i := 0; i < 200 && ejected == ""; i++ {
		r := b.request("red")
		server := b.sent(b.arrive(r))
		outcome := Done
		if server == "e0" {
			outcome = Failed
		}
		if belief, ok := findCmd[ServerStatusCmd](b.end(r.ID, outcome, false)); ok && belief.Status == StatusEjected {
			ejected = belief.Server.ID
		}
	}
	require.Equal(t, "e0", ejected)
	for range 30 {
		r := b.request("red")
		require.NotEqual(t, "e0", b.sent(b.arrive(r)))
		b.end(r.ID, Done, false)
	}
	b.advance(minEjection + TickInterval)
	back := false
	for i := 0; i < 100 && !back; i++ {
		r := b.request("red", PromptPart{ID: uint64(i), Tokens: 1}, PromptPart{ID: 9, Tokens: 1})
		b.sent(b.arrive(r))
		belief, ok := findCmd[ServerStatusCmd](b.end(r.ID, Done, false))
		back = ok && belief.Status == StatusRestored
	}
	require.True(t, back)
}

// TestFaultOfAllEjectsFew keeps at least half of the servers when all fail.
func TestEjectionKeepsHalfTheServers(t *testing.T) {
	b := newHarness(t, 6)
	for range 300 {
		r := b.request("red")
		b.sent(b.arrive(r))
		b.end(r.ID, Failed, false)
	}
	in := 0
	for _, s := range b.m.pool("llm").admitted {
		if s.usable(b.now) {
			in++
		}
	}
	require.GreaterOrEqual(t, in, 3)
}

// TestSlowRouterJudgesNobody does not hold others for dead while this router is
// late itself: one starved router would eject all servers.
func TestSlowRouterEjectsNobody(t *testing.T) {
	b := newHarness(t, 2)
	for range 50 {
		r := b.request("red")
		b.sent(b.arrive(r))
		for _, c := range b.m.Update(AttemptEndMsg{Now: b.now, ID: r.ID, Outcome: Unsent, RouterLate: true}) {
			_, belief := c.(ServerStatusCmd)
			require.False(t, belief)
		}
	}
}

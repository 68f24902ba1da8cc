package direct

import (
	"math"
	"testing"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
)

// TestWhatMayHaveRun checks that a request that may have run and may not be repeated fails: it
// is neither retried nor refused.
func TestWhatMayHaveRun(t *testing.T) {
	for _, o := range []Outcome{Failed, Broken, Hung} {
		h := newHarness(t, 3)
		r := h.request("red")
		r.MayRepeat = false
		h.sent(h.arrive(r))
		fail, ok := findCmd[FailCmd](h.end(r.ID, o, true))
		require.True(t, ok, o.String())
		require.Equal(t, ReasonAtMostOnce, fail.Reason)
	}
}

// TestNotRunGoesElsewhere checks that a request that has not run is retried at another server, as
// often as the route allows, and then refused.
func TestNotRunGoesElsewhere(t *testing.T) {
	h := newHarness(t, 3)
	r := h.request("red")
	r.MayRepeat = false
	first := h.sent(h.arrive(r))
	second := h.sent(h.end(r.ID, NotRun, true))
	require.NotEqual(t, first, second)
	refused, ok := findCmd[RefuseCmd](h.end(r.ID, NotRun, true))
	require.True(t, ok)
	require.Equal(t, ReasonAttempts, refused.Reason)
}

// TestUnsentCostsNoAttempt checks that a request with one attempt tries further servers if
// nothing was sent.
func TestUnsentCostsNoAttempt(t *testing.T) {
	h := newHarness(t, 4)
	r := h.request("red")
	r.Attempts = 1
	h.sent(h.arrive(r))
	h.sent(h.end(r.ID, Unsent, true))
	h.sent(h.end(r.ID, Unsent, true))
}

// TestRetriesKeepToTheBudget fails all attempts: the retries stay within the router's part of
// the budget.
func TestRetriesKeepToTheBudget(t *testing.T) {
	for _, routers := range []int{1, 4} {
		h := newHarness(t, 4)
		h.m.Update(MembershipMsg{Now: h.now, Routers: routers, ReportTTL: time.Second})
		retries := 0
		for range 100 {
			r := h.request("red")
			r.Service = "app"
			if _, ok := findCmd[SendCmd](h.arrive(r)); !ok {
				h.advance(time.Second)
				continue
			}
			if _, ok := findCmd[SendCmd](h.end(r.ID, Failed, true)); ok {
				retries++
				h.end(r.ID, Done, false)
			}
		}
		require.LessOrEqual(t, float64(retries), 0.2*100+10/float64(routers))
		require.Positive(t, retries)
	}
}

// TestEjection checks that a server that fails while the others don't is ejected, and is
// restored by one request that may be repeated.
func TestEjection(t *testing.T) {
	h := newHarness(t, 4)
	ejected := ""
	for i := 0; i < 200 && ejected == ""; i++ {
		r := h.request("red")
		server := h.sent(h.arrive(r))
		outcome := Done
		if server == "e0" {
			outcome = Failed
		}
		if status, ok := findCmd[ServerStatusCmd](h.end(r.ID, outcome, false)); ok && status.Status == StatusEjected {
			ejected = status.Server.ID
		}
	}
	require.Equal(t, "e0", ejected)
	for range 30 {
		r := h.request("red")
		require.NotEqual(t, "e0", h.sent(h.arrive(r)))
		h.end(r.ID, Done, false)
	}
	h.advance(minEjection + TickInterval)
	back := false
	for i := 0; i < 100 && !back; i++ {
		r := h.request("red", PromptPart{ID: uint64(i), Tokens: 1}, PromptPart{ID: 9, Tokens: 1})
		h.sent(h.arrive(r))
		status, ok := findCmd[ServerStatusCmd](h.end(r.ID, Done, false))
		back = ok && status.Status == StatusRestored
	}
	require.True(t, back)
}

// TestEjectionKeepsHalfTheServers checks that at least half of the servers stay in use when all
// fail.
func TestEjectionKeepsHalfTheServers(t *testing.T) {
	h := newHarness(t, 6)
	for range 300 {
		r := h.request("red")
		h.sent(h.arrive(r))
		h.end(r.ID, Failed, false)
	}
	inUse := 0
	for _, s := range h.m.pool("llm").admitted {
		if s.usable(h.now) {
			inUse++
		}
	}
	require.GreaterOrEqual(t, inUse, 3)
}

// TestSlowRouterEjectsNobody checks that a router that is late itself counts no failures.
// Otherwise, a router without processor time would eject all servers.
func TestSlowRouterEjectsNobody(t *testing.T) {
	h := newHarness(t, 2)
	for range 50 {
		r := h.request("red")
		h.sent(h.arrive(r))
		for _, c := range h.m.Update(AttemptEndMsg{Now: h.now, ID: r.ID, Outcome: Unsent, RouterLate: true}) {
			_, isStatus := c.(ServerStatusCmd)
			require.False(t, isStatus)
		}
	}
}

// TestDeclinedRetryLeavesAttempts guards against a stream that is cut after its server failed, since the next server
// was full: a retry that did not run uses up the retry budget, but no attempt.
func TestDeclinedRetryLeavesAttempts(t *testing.T) {
	for _, o := range []Outcome{NotRun, Elsewhere} {
		t.Run(o.String(), func(t *testing.T) {
			h := newVersionHarness(t, 4, "v1")
			r := h.request("red")
			tried := []string{h.sent(h.arrive(r))}
			h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID, Streaming: true})
			tried = append(tried, h.sent(h.end(r.ID, Broken, true)))
			for range 2 {
				next := h.sent(h.end(r.ID, o, true))
				require.NotContains(t, tried, next)
				tried = append(tried, next)
			}
			_, failed := findCmd[FailCmd](h.end(r.ID, o, true))
			require.True(t, failed, "every server has declined it")

			h.advance(10 * time.Second) // no server is in a pause any more
			fresh := h.request("red")
			h.sent(h.arrive(fresh))
			h.sent(h.end(fresh.ID, o, true))
			_, refused := findCmd[RefuseCmd](h.end(fresh.ID, o, true))
			require.True(t, refused, "a request that no server has run is refused")
		})
	}
}

// TestRefusalNamesATimeForAbsurdTokens guards against refusals without a time to return, as the backlog
// of a server exceeded what a duration holds.
func TestRefusalNamesATimeForAbsurdTokens(t *testing.T) {
	h := newHarness(t, 1)
	h.m.Update(PeerLoadsMsg{Now: h.now, Loads: []loads.Load{{Server: loads.ServerKey("e0"), Running: 48}}})
	h.m.byServer["e0"].pendingTokens = math.MaxInt
	r := h.request("red")
	h.arrive(r)
	refused, ok := findCmd[RefuseCmd](h.advance(r.Objective))
	require.True(t, ok)
	require.Positive(t, refused.RetryAfter)
}

// TestRefusalNamesATimeWithoutObjective guards against refusals without a time to return on a route whose
// objective is 0 or absurd.
func TestRefusalNamesATimeWithoutObjective(t *testing.T) {
	for _, objective := range []time.Duration{0, -time.Second} {
		h := newHarness(t, 0)
		r := h.request("red")
		r.Objective = objective
		refused, ok := findCmd[RefuseCmd](h.arrive(r))
		require.True(t, ok)
		require.Equal(t, minRetryAfter, refused.RetryAfter)
	}
}

package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// movedIDs returns the requests that commands move.
func movedIDs(cmds []Cmd) []RequestID {
	var out []RequestID
	for _, c := range cmds {
		if move, ok := c.(MoveCmd); ok {
			out = append(out, move.ID)
		}
	}
	return out
}

// TestRolloutMoves checks that each repeatable stream is moved once, a few at a time, and
// continues at the target version.
func TestRolloutMoves(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(0))
	repeatable := make(map[RequestID]bool)
	for i := range 40 {
		r := h.routeRequest("chat")
		r.MayRepeat = i%2 == 0
		h.sent(h.arrive(r))
		repeatable[r.ID] = r.MayRepeat
	}
	require.Equal(t, 40, h.m.OldRunning("llm"))
	g := canaryGate(1)
	g.OldClosed, g.MoveStreams = true, true
	first := movedIDs(h.gate(g))
	require.LessOrEqual(t, len(first), minMovesPerTick)
	all := append(first, movedIDs(h.advance(time.Second))...)
	require.Len(t, all, 20)
	for _, id := range all {
		require.True(t, repeatable[id])
		delete(repeatable, id)
		c, ok := findCmd[SendCmd](h.end(id, Moved, true))
		require.True(t, ok)
		require.Equal(t, "v2", c.Server.Version)
		require.Equal(t, SideMoved, c.PlacementBasis.Side)
	}
	require.Equal(t, map[string]int{"llm": 20}, h.m.AllOldRunning())
	require.Equal(t, map[string]int{"llm": 60}, h.m.RequestCounts(), "40 requests and 20 retries")
	require.Empty(t, movedIDs(h.advance(time.Second)))
}

// TestRolloutMovesKeepToTheBudget checks that no more streams are moved than the retry budget
// allows. The others continue where they are.
func TestRolloutMovesKeepToTheBudget(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(0))
	h.m.Update(RetryBudgetMsg{RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 0, Window: 10 * time.Second}})
	for range 50 {
		h.sent(h.arrive(h.routeRequest("chat")))
	}
	g := canaryGate(1)
	g.OldClosed, g.MoveStreams = true, true
	all := append(movedIDs(h.gate(g)), movedIDs(h.advance(5*time.Second))...)
	require.Len(t, all, int(retryBudgetMargin*0.2*50))
}

// TestRolloutMoveIsNoServerFailure checks that a move doesn't change the state of the old
// server.
func TestRolloutMoveIsNoServerFailure(t *testing.T) {
	h := newRolloutHarness(t, canaryGate(0))
	r := h.routeRequest("chat")
	id := h.sent(h.arrive(r))
	h.end(r.ID, Moved, false)
	s := h.m.byServer[id]
	require.Zero(t, s.failureRate)
	require.Zero(t, s.running)
	require.True(t, s.usable(h.now))
}

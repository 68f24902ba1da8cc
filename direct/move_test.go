package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// moves returns the requests that commands move.
func movedIDs(cmds []Cmd) []RequestID {
	var out []RequestID
	for _, c := range cmds {
		if move, ok := c.(MoveCmd); ok {
			out = append(out, move.ID)
		}
	}
	return out
}

// TestRolloutMoves moves each stream that may be repeated once, a few at a time; they go on
// at the target.
func TestRolloutMoves(t *testing.T) {
	b := newRolloutBench(t, canaryGate(0))
	repeatable := make(map[RequestID]bool)
	for i := range 40 {
		r := b.routeRequest("chat")
		r.MayRepeat = i%2 == 0
		b.sent(b.arrive(r))
		repeatable[r.ID] = r.MayRepeat
	}
	require.Equal(t, 40, b.m.OldRunning("llm"))
	g := canaryGate(1)
	g.OldClosed, g.MoveStreams = true, true
	first := movedIDs(b.gate(g))
	require.LessOrEqual(t, len(first), minMovesPerTick)
	all := append(first, movedIDs(b.advance(time.Second))...)
	require.Len(t, all, 20)
	for _, id := range all {
		require.True(t, repeatable[id])
		delete(repeatable, id)
		c, ok := findCmd[SendCmd](b.end(id, Moved, true))
		require.True(t, ok)
		require.Equal(t, "v2", c.Server.Version)
		require.Equal(t, SideMoved, c.PlacementBasis.Side)
	}
	require.Equal(t, map[string]int{"llm": 20}, b.m.AllOldRunning())
	require.Equal(t, map[string]int{"llm": 60}, b.m.RequestCounts(), "40, and 20 once more")
	require.Empty(t, movedIDs(b.advance(time.Second)))
}

// TestRolloutMovesKeepToTheBudget moves no more streams than there are retries left: the
// others run on.
func TestRolloutMovesKeepToTheBudget(t *testing.T) {
	b := newRolloutBench(t, canaryGate(0))
	b.m.Update(RetryBudgetMsg{RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 0, Window: 10 * time.Second}})
	for range 50 {
		b.sent(b.arrive(b.routeRequest("chat")))
	}
	g := canaryGate(1)
	g.OldClosed, g.MoveStreams = true, true
	all := append(movedIDs(b.gate(g)), movedIDs(b.advance(5*time.Second))...)
	require.Len(t, all, int(retryBudgetMargin*0.2*50))
}

// TestRolloutMovedSaysNothingOfTheServer leaves an old server as it was.
func TestRolloutMoveIsNoServerFailure(t *testing.T) {
	b := newRolloutBench(t, canaryGate(0))
	r := b.routeRequest("chat")
	id := b.sent(b.arrive(r))
	b.end(r.ID, Moved, false)
	s := b.m.byServer[id]
	require.Zero(t, s.failureRate)
	require.Zero(t, s.running)
	require.True(t, s.usable(b.now))
}

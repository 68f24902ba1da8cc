package rollout

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// move is one step of an interleaving.
type move struct {
	name  string
	apply func(s *sim)
}

func interleavingMoves() []move {
	return []move{
		{"first leader's turn", func(s *sim) { s.turn(0) }},
		{"second leader's turn", func(s *sim) { s.turn(1) }},
		{"store is slow from here", func(s *sim) { s.store.delaysWrites = true }},
		{"late write is done", func(s *sim) { s.store.delaysWrites = false; s.store.applyDelayed() }},
		{"version turns bad", func(s *sim) { s.badRate[newVersion] = 0.9; s.requestRate = 5000 }},
	}
}

// turn advances the time by two ticks and runs a tick of one router only.
func (s *sim) turn(i int) {
	s.now += 2 * TickInterval
	s.tickRouter(i, s.routers[i])
	if s.store.fault != "" {
		s.fault = s.store.fault
	}
}

// TestRolloutTwoLeadersInterleaved tries all interleavings of the turns of two leaders, of a
// store that starts to delay writes and of its delayed write, around the final status.
func TestRolloutTwoLeadersInterleaved(t *testing.T) {
	t.Parallel()
	const depth = 5
	moves := interleavingMoves()
	tried := 0
	var explore func(path []int)
	explore = func(path []int) {
		if len(path) < depth {
			for i := range moves {
				explore(append(path[:len(path):len(path)], i))
			}
			return
		}
		tried++
		s := newSimBeforeCompletion()
		var names []string
		for _, i := range path {
			moves[i].apply(s)
			names = append(names, moves[i].name)
		}
		s.store.delaysWrites = false
		s.store.applyDelayed()
		s.run(6 * time.Second)
		require.Empty(t, s.fault, strings.Join(names, ", "))
		require.True(t, s.status().Final(), strings.Join(names, ", "))
		for _, r := range s.routers {
			require.Empty(t, r.gate.Target, strings.Join(names, ", "))
			require.Equal(t, s.store.record.InUse, r.gate.InUse, strings.Join(names, ", "))
		}
	}
	explore(nil)
	t.Logf("%d interleavings", tried)
}

// newSimBeforeCompletion returns a fleet of two leaders shortly before they confirm the
// rollout. The order is short, as it is simulated for every interleaving.
func newSimBeforeCompletion() *sim {
	const within = 6 * time.Second
	s := newSim(2, 1)
	s.routers[1].leads = true
	s.requestRate = 150
	s.run(TickInterval)
	s.placeOrder(newVersion, "m1", within)
	s.run(newTimeline(within).stageAt(All) + 900*time.Millisecond)
	return s
}

package rollouts

import (
	"testing"

	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// TestRolloutQueue fills a queue with answers: it drops and counts what finds no room,
// and still takes other messages, for which alone its owner is woken.
func TestRolloutQueue(t *testing.T) {
	b := newQueue()
	for range answersMost + 3 {
		b.put(rollout.ResponseMsg{})
	}
	require.Empty(t, b.wake)
	b.put(rollout.OrdersMsg{})
	require.Len(t, b.wake, 1)
	waiting, dropped := b.take()
	require.Len(t, waiting, answersMost+1)
	require.Equal(t, rollout.OrdersMsg{}, waiting[answersMost])
	require.EqualValues(t, 3, dropped)
	b.put(rollout.ResponseMsg{})
	waiting, dropped = b.take()
	require.Len(t, waiting, 1)
	require.Zero(t, dropped)
}

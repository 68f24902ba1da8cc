package rollouts

import (
	"testing"

	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// TestRolloutQueue fills a queue with answers: it drops and counts what finds no room,
// and still takes other messages, for which alone its owner is woken.
func TestRolloutQueue(t *testing.T) {
	q := newQueue()
	for range maxQueuedResponses + 3 {
		q.put(rollout.ResponseMsg{})
	}
	require.Empty(t, q.wake)
	q.put(rollout.OrdersMsg{})
	require.Len(t, q.wake, 1)
	waiting, dropped := q.take()
	require.Len(t, waiting, maxQueuedResponses+1)
	require.Equal(t, rollout.OrdersMsg{}, waiting[maxQueuedResponses])
	require.EqualValues(t, 3, dropped)
	q.put(rollout.ResponseMsg{})
	waiting, dropped = q.take()
	require.Len(t, waiting, 1)
	require.Zero(t, dropped)
}

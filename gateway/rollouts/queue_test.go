package rollouts

import (
	"testing"

	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
)

// TestRolloutQueue fills a queue with responses: the queue drops and counts those beyond its
// limit, still accepts other messages, and wakes the runner for those only.
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

package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func sent(w *writer, now time.Duration, result WriteResult) {
	w.send(WriteCmd{Kind: WriteStatus}, 1, now)
	w.ended(WriteDoneMsg{Now: now, Kind: WriteStatus, Result: result})
}

// TestRolloutWriterPausesGrow shows that a write which the store refuses is repeated
// after growing pauses.
func TestRolloutWriterPausesGrow(t *testing.T) {
	t.Parallel()
	var w writer
	sent(&w, 0, Refused)
	require.False(t, w.ready(firstPause-1))
	require.True(t, w.ready(firstPause))
	sent(&w, firstPause, Unknown)
	require.False(t, w.ready(3*firstPause-1))
	require.True(t, w.ready(3*firstPause))
	for range 10 {
		sent(&w, time.Minute, Refused)
	}
	require.True(t, w.ready(time.Minute+mostPause))
}

// TestRolloutWriterWaitsForNews shows that after a conflict nothing is written until the
// store has shown what holds, but not for ever.
func TestRolloutWriterWaitsForNews(t *testing.T) {
	t.Parallel()
	var w writer
	sent(&w, 0, Conflict)
	require.False(t, w.ready(conflictPause-1))
	require.True(t, w.ready(conflictPause))
	sent(&w, conflictPause, Conflict)
	w.shown()
	require.True(t, w.ready(conflictPause))
}

// TestRolloutWriterSendsOne shows that there is one write at a time, and that one which
// never ends is given up.
func TestRolloutWriterSendsOne(t *testing.T) {
	t.Parallel()
	var w writer
	w.send(WriteCmd{Kind: WriteRecord}, 1, 0)
	require.False(t, w.ready(time.Second))
	require.Nil(t, w.ended(WriteDoneMsg{Kind: WriteStatus}))
	require.True(t, w.ready(forgotten))
}

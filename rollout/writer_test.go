package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func sendAndFinish(w *writer, now time.Duration, result WriteResult) {
	w.send(WriteCmd{Kind: WriteStatus}, 1, now)
	w.finish(WriteDoneMsg{Now: now, Kind: WriteStatus, Result: result})
}

// TestRolloutWriterPausesGrow shows that a write which the store refuses is repeated
// after growing pauses.
func TestRolloutWriterBackoffGrows(t *testing.T) {
	t.Parallel()
	var w writer
	sendAndFinish(&w, 0, Refused)
	require.False(t, w.ready(initialBackoff-1))
	require.True(t, w.ready(initialBackoff))
	sendAndFinish(&w, initialBackoff, Unknown)
	require.False(t, w.ready(3*initialBackoff-1))
	require.True(t, w.ready(3*initialBackoff))
	for range 10 {
		sendAndFinish(&w, time.Minute, Refused)
	}
	require.True(t, w.ready(time.Minute+maxBackoff))
}

// TestRolloutWriterWaitsForNews shows that after a conflict nothing is written until the
// store has shown what holds, but not for ever.
func TestRolloutWriterWaitsForChange(t *testing.T) {
	t.Parallel()
	var w writer
	sendAndFinish(&w, 0, Conflict)
	require.False(t, w.ready(conflictWait-1))
	require.True(t, w.ready(conflictWait))
	sendAndFinish(&w, conflictWait, Conflict)
	w.objectChanged()
	require.True(t, w.ready(conflictWait))
}

// TestRolloutWriterSendsOne shows that there is one write at a time, and that one which
// never ends is given up.
func TestRolloutWriterSendsOne(t *testing.T) {
	t.Parallel()
	var w writer
	w.send(WriteCmd{Kind: WriteRecord}, 1, 0)
	require.False(t, w.ready(time.Second))
	require.Nil(t, w.finish(WriteDoneMsg{Kind: WriteStatus}))
	require.True(t, w.ready(writeTimeout))
}

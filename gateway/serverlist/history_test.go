package serverlist

import (
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
)

// TestHistoryIsBounded checks that the history keeps historyLength steps and has no update for a
// router that is further behind.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	for i := uint64(1); i < 3*historyLength; i++ {
		h.Record(i, []string{"i-1"})
	}
	require.Len(t, h.steps, historyLength)
	now := &direct.Directory{Revision: 3 * historyLength}
	_, ok := h.Since(5, now)
	require.False(t, ok)
	u, ok := h.Since(3*historyLength-1, now)
	require.True(t, ok)
	require.EqualValues(t, 3*historyLength-1, u.From)
	require.Equal(t, []string{"i-1"}, u.Gone)
}

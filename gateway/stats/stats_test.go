package stats

import (
	"testing"

	"github.com/croftvale/croftvale/admin"
	"github.com/croftvale/croftvale/origin"
	"github.com/stretchr/testify/require"
)

// TestStreamResumedHasOneSetOfLabels guards against requests that end in a panic, since a metric has other
// labels for some of them than for others.
func TestStreamResumedHasOneSetOfLabels(t *testing.T) {
	var failed error
	s := New(admin.New(admin.Source{MetricFailed: func(err error) { failed = err }}).Scope())
	for e := origin.NoEvidence; e <= origin.OutOfTouch; e++ {
		require.NotPanics(t, func() { s.StreamResumed(origin.Resolution{Evidence: e}) })
	}
	require.NoError(t, failed)
}

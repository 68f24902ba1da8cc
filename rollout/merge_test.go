package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawReport(t *rapid.T) Report {
	r := Report{
		Service:    simService,
		Order:      uint64(rapid.IntRange(1, 2).Draw(t, "order")),
		Routers:    uint32(rapid.IntRange(0, 2).Draw(t, "routers")),
		Known:      Stage(rapid.IntRange(0, 4).Draw(t, "known")),
		InForce:    Stage(rapid.IntRange(0, 4).Draw(t, "in force")),
		Age:        time.Duration(rapid.IntRange(0, 9).Draw(t, "age")),
		OldRunning: uint32(rapid.IntRange(0, 9).Draw(t, "running")),
		Rejected:   rapid.Bool().Draw(t, "rejected"),
	}
	if r.Routers == 0 {
		return Report{}
	}
	counts := cells{}
	for range rapid.IntRange(0, 4).Draw(t, "cells") {
		k := cellKey{
			Route:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"),
			Cohort: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "cohort"),
			Target: rapid.Bool().Draw(t, "target"),
			Later:  rapid.Bool().Draw(t, "later"),
		}
		counts.count(k, Tally{Good: uint32(rapid.IntRange(0, 9).Draw(t, "good")), Bad: 1})
	}
	r.Cells = counts.list()
	return r
}

// TestRolloutMerge shows that the order of merging makes no difference.
func TestRolloutMerge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawReport(t), drawReport(t), drawReport(t)
		require.Equal(t, Merge(a, b), Merge(b, a))
		require.Equal(t, Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
	})
}

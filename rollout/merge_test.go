package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawReport draws a report of some routers, or none, on one of the orders. Its cells are in
// any order and may repeat.
func drawReport(t *rapid.T, orders int) Report {
	r := Report{
		Service:         simService,
		Order:           uint64(rapid.IntRange(1, orders).Draw(t, "order")),
		Routers:         rapid.Uint32Range(0, 9).Draw(t, "routers"),
		MaxStage:        Stage(rapid.IntRange(0, 4).Draw(t, "known")),
		MinAppliedStage: Stage(rapid.IntRange(0, 4).Draw(t, "in force")),
		Age:             time.Duration(rapid.IntRange(0, 9).Draw(t, "age")),
		OldRunning:      uint32(rapid.IntRange(0, 9).Draw(t, "running")),
		Rejected:        rapid.Bool().Draw(t, "rejected"),
	}
	if r.Routers == 0 {
		return Report{}
	}
	for range rapid.IntRange(0, 5).Draw(t, "cells") {
		r.Cells = append(r.Cells, Cell{
			Route:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"),
			Cohort:     rapid.SampledFrom([]string{"x", "y"}).Draw(t, "cohort"),
			Target:     rapid.Bool().Draw(t, "target"),
			AfterStart: rapid.Bool().Draw(t, "later"),
			Good:       rapid.Uint32Range(0, 9).Draw(t, "good"),
			Bad:        rapid.Uint32Range(0, 1).Draw(t, "bad"),
		})
	}
	return r
}

// TestRolloutMerge verifies that Merge is commutative and associative.
func TestRolloutMerge(t *testing.T) {
	t.Parallel()
	for _, orders := range []int{1, 2} {
		rapid.Check(t, func(t *rapid.T) {
			a, b, c := drawReport(t, orders), drawReport(t, orders), drawReport(t, orders)
			want := Merge(Merge(a, b), c)
			require.Equal(t, want, Merge(a, Merge(b, c)))
			require.Equal(t, want, Merge(Merge(c, a), b))
			require.Equal(t, Merge(a, b), Merge(b, a))
		})
	}
}

// TestRolloutMergeCountsAll verifies that counts are added and the lowest applied stage is kept.
func TestRolloutMergeCountsAll(t *testing.T) {
	t.Parallel()
	cell := Cell{Route: "r", Cohort: "h", Good: 2, Bad: 1}
	afterStart := Cell{Route: "r", Cohort: "h", AfterStart: true, Good: 4}
	got := Merge(
		Report{Service: "s", Order: 1, Routers: 2, MaxStage: Half, MinAppliedStage: Quarter, Age: 5, OldRunning: 3, Cells: []Cell{afterStart, cell}},
		Report{Service: "s", Order: 1, Routers: 1, MaxStage: Quarter, MinAppliedStage: Trial, Age: 7, OldRunning: 1, Cells: []Cell{cell}},
	)
	require.Equal(t, Report{
		Service: "s", Order: 1, Routers: 3, MaxStage: Half, MinAppliedStage: Trial, Age: 7, OldRunning: 4,
		Cells: []Cell{{Route: "r", Cohort: "h", Good: 4, Bad: 2}, afterStart},
	}, got)
}

package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMergeInAnyOrder merges three reports in all ways: the result is the same.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawTold(t, "a"), drawTold(t, "b"), drawTold(t, "c")
		want := Merge(Merge(a, b), c)
		require.Equal(t, want, Merge(a, Merge(b, c)))
		require.Equal(t, want, Merge(Merge(c, a), b))
		require.Equal(t, Merge(a, b), Merge(b, a))
	})
}

// TestMergeCountsAll has sums of what is counted, and the least that is in force.
func TestMergeCountsAll(t *testing.T) {
	cell := Cell{Route: "r", Cohort: "h", Good: 2, Bad: 1}
	later := Cell{Route: "r", Cohort: "h", Later: true, Good: 4}
	got := Merge(
		Report{Service: "s", Order: 1, Routers: 2, Known: Half, InForce: Quarter, Age: 5, OldRunning: 3, Cells: []Cell{later, cell}},
		Report{Service: "s", Order: 1, Routers: 1, Known: Quarter, InForce: Trial, Age: 7, OldRunning: 1, Cells: []Cell{cell}},
	)
	require.Equal(t, Report{
		Service: "s", Order: 1, Routers: 3, Known: Half, InForce: Trial, Age: 7, OldRunning: 4,
		Cells: []Cell{{Route: "r", Cohort: "h", Good: 4, Bad: 2}, later},
	}, got)
}

func drawTold(t *rapid.T, label string) Report {
	r := Report{
		Service: "s", Order: 1, Routers: rapid.Uint32Range(1, 9).Draw(t, label),
		Known: Stage(rapid.IntRange(0, 4).Draw(t, label)), InForce: Stage(rapid.IntRange(0, 4).Draw(t, label)),
	}
	for range rapid.IntRange(0, 5).Draw(t, label) {
		r.Cells = append(r.Cells, Cell{
			Route: rapid.SampledFrom([]string{"x", "y"}).Draw(t, label), Target: rapid.Bool().Draw(t, label),
			Later: rapid.Bool().Draw(t, label), Good: rapid.Uint32Range(0, 9).Draw(t, label),
		})
	}
	return r
}

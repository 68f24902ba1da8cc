package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutTurnWithinASecond has a version turn bad in the middle of a second in which it has had
// all of a busy service's requests: the good answers before that must not hide the bad ones.
func TestRolloutTurnWithinASecond(t *testing.T) {
	const (
		perEvaluation    = 12 // answers of each cohort
		badPerEvaluation = 4  // of these, once it is bad
		turnAt           = 5  // looks
		limit            = 9  // looks until it has to be found
	)
	judge := NewJudge()
	counts := []Cell{}
	for evaluation := 1; evaluation <= limit; evaluation++ {
		for _, cohort := range []string{"a", "b", "c"} {
			c := Cell{Route: "r", Cohort: cohort, Target: true, Good: perEvaluation}
			if evaluation > turnAt {
				c.Good, c.Bad = perEvaluation-badPerEvaluation, badPerEvaluation
			}
			counts = append(counts, c)
		}
		verdict := judge.Evaluate(time.Duration(evaluation)*TickInterval, counts)
		if evaluation <= turnAt {
			require.NotEqual(t, Bad, verdict)
		}
	}
	require.Equal(t, Bad, judge.Verdict())
}

// TestRolloutJudgeAfterLoss has the counts of a router vanish and come back within a second: the
// answers that it brings then are not among those of that second, and the version must be judged
// all the same.
func TestRolloutJudgeAfterLoss(t *testing.T) {
	judge := NewJudge()
	now := time.Duration(0)
	evaluate := func(good, bad uint32) Verdict {
		now += TickInterval
		var counts []Cell
		for _, cohort := range []string{"a", "b", "c"} {
			counts = append(counts, Cell{Route: "r", Cohort: cohort, Target: true, Good: good, Bad: bad})
		}
		return judge.Evaluate(now, counts)
	}
	for range 12 {
		evaluate(10, 0)
	}
	evaluate(0, 0)
	for range 12 {
		require.NotEqual(t, Bad, evaluate(10, 0))
	}
	require.Equal(t, Bad, evaluate(10, 20))
}

// TestRolloutHallsTurnOneAfterAnother has the servers of three halls turn bad one after another, as a
// version does that fails after some number of requests: two halls that show it are enough, though
// the good answers of the third hide most of it in the sum of all.
func TestRolloutHallsTurnOneAfterAnother(t *testing.T) {
	const (
		perEvaluation    = 10 // answers of each hall
		badPerEvaluation = 3  // of these, once its servers are bad
		limit            = 11 // looks until it has to be found
	)
	turns := map[string]int{"a": 3, "b": 6, "c": 40} // looks
	judge := NewJudge()
	var counts []Cell
	for evaluation := 1; evaluation <= limit; evaluation++ {
		for hall, turn := range turns {
			c := Cell{Route: "r", Cohort: hall, Target: true, Good: perEvaluation}
			if evaluation > turn {
				c.Good, c.Bad = perEvaluation-badPerEvaluation, badPerEvaluation
			}
			counts = append(counts, c)
		}
		verdict := judge.Evaluate(time.Duration(evaluation)*TickInterval, counts)
		if evaluation <= turns["b"] {
			require.NotEqual(t, Bad, verdict)
		}
	}
	require.Equal(t, Bad, judge.Verdict())
}

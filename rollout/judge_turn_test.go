package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRolloutTurnWithinASecond makes a version turn bad in the middle of a second in which it gets
// all requests of a busy service: the good responses before must not hide the bad ones.
func TestRolloutTurnWithinASecond(t *testing.T) {
	const (
		perEvaluation    = 12 // responses of each cohort
		badPerEvaluation = 4  // bad ones of these, once the version is bad
		turnAt           = 5  // in evaluations
		limit            = 9  // evaluations until it must be found
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

// TestRolloutJudgeAfterLoss makes the counts of a router disappear and return within a second. The
// bad responses counted after that must be evaluated, although the counts had decreased.
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

// TestRolloutHallsTurnOneAfterAnother makes the servers of three halls turn bad one after another,
// like a version that fails after a number of requests. Two bad halls must suffice, although the
// good responses of the third hide most of the evidence in the common sum.
func TestRolloutHallsTurnOneAfterAnother(t *testing.T) {
	const (
		perEvaluation    = 10 // responses of each hall
		badPerEvaluation = 3  // bad ones of these, once the hall's servers are bad
		limit            = 11 // evaluations until it must be found
	)
	turns := map[string]int{"a": 3, "b": 6, "c": 40} // in evaluations
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

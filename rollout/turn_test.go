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
		perLook = 12 // answers of each cohort
		badEach = 4  // of these, once it is bad
		turnAt  = 5  // looks
		limit   = 9  // looks until it has to be found
	)
	judge := NewJudge()
	counts := []Cell{}
	for look := 1; look <= limit; look++ {
		for _, cohort := range []string{"a", "b", "c"} {
			c := Cell{Route: "r", Cohort: cohort, Target: true, Good: perLook}
			if look > turnAt {
				c.Good, c.Bad = perLook-badEach, badEach
			}
			counts = append(counts, c)
		}
		verdict := judge.Evaluate(time.Duration(look)*TickInterval, counts)
		if look <= turnAt {
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
	look := time.Duration(0)
	tell := func(good, bad uint32) Verdict {
		look += TickInterval
		var counts []Cell
		for _, cohort := range []string{"a", "b", "c"} {
			counts = append(counts, Cell{Route: "r", Cohort: cohort, Target: true, Good: good, Bad: bad})
		}
		return judge.Evaluate(look, counts)
	}
	for range 12 {
		tell(10, 0)
	}
	tell(0, 0)
	for range 12 {
		require.NotEqual(t, Bad, tell(10, 0))
	}
	require.Equal(t, Bad, tell(10, 20))
}

// TestRolloutHallsTurnOneAfterAnother has the servers of three halls turn bad one after another, as a
// version does that fails after some number of requests: two halls that show it are enough, though
// the good answers of the third hide most of it in the sum of all.
func TestRolloutHallsTurnOneAfterAnother(t *testing.T) {
	const (
		perLook = 10 // answers of each hall
		badEach = 3  // of these, once its servers are bad
		limit   = 11 // looks until it has to be found
	)
	turns := map[string]int{"a": 3, "b": 6, "c": 40} // looks
	judge := NewJudge()
	var counts []Cell
	for look := 1; look <= limit; look++ {
		for hall, turn := range turns {
			c := Cell{Route: "r", Cohort: hall, Target: true, Good: perLook}
			if look > turn {
				c.Good, c.Bad = perLook-badEach, badEach
			}
			counts = append(counts, c)
		}
		verdict := judge.Evaluate(time.Duration(look)*TickInterval, counts)
		if look <= turns["b"] {
			require.NotEqual(t, Bad, verdict)
		}
	}
	require.Equal(t, Bad, judge.Verdict())
}

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
		verdict := judge.Look(time.Duration(look)*TickEvery, counts)
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
		look += TickEvery
		var counts []Cell
		for _, cohort := range []string{"a", "b", "c"} {
			counts = append(counts, Cell{Route: "r", Cohort: cohort, Target: true, Good: good, Bad: bad})
		}
		return judge.Look(look, counts)
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

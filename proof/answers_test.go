package proof

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const boxSteps = 250

// TestAnswersAreTrueUnderFaults interleaves arrivals, ends, kills, restarts
// with no state, cuts both ways and one way, freezes longer than links last,
// lost calls and answers, hang-ups, leaving agents and failing servers, and
// holds that every caller gets exactly one answer, that nothing told "not run"
// ever runs, and that nothing unrepeatable runs twice.
func TestAnswersAreTrueUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBox(2, 3)
		for range boxSteps {
			b.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") })
			if b.broken != "" {
				rt.Fatal(b.broken)
			}
		}
		b.settle()
		b.checkSettled()
		if b.broken != "" {
			rt.Fatal(b.broken)
		}
	})
}

// TestOracleSeesSabotage switches mechanisms off, one at a time, and holds
// that the same events then break a promise: the test above can fail.
func TestOracleSeesSabotage(t *testing.T) {
	cases := map[string]sabotage{
		"lost agents are taken for ones that never started": {failedMeansNotRun: true},
		"agents disown runs that they started":              {denyStarted: true},
		"agents free a slot while it is in use":             {freeEarly: true},
		"agents go on claiming while they leave":            {claimWhileLeaving: true},
	}
	for name, s := range cases {
		t.Run(name, func(t *testing.T) { require.True(t, breaks(s), "no promise was broken") })
	}
}

// breaks runs seeded boxes until one breaks a promise.
func breaks(s sabotage) bool {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := newBox(2, 3)
		b.sabotage = s
		for range boxSteps {
			b.step(rng.IntN)
		}
		b.settle()
		b.checkSettled()
		if b.broken != "" {
			return true
		}
	}
	return false
}

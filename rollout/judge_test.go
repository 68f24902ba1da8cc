package rollout

import (
	"maps"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// judgeSim simulates the responses of a fleet and evaluates them.
type judgeSim struct {
	perSecond float64 // responses of the target, in the trial
	seconds   float64 // time until the ramp
	// bad returns the rate of bad responses at a time, in seconds.
	bad func(at float64, route, cohort, server int, target bool) float64
	// afterStart is set if bad responses have a good start and fail after it.
	afterStart bool
}

const (
	simRoutes      = 3
	simCohorts     = 3
	simServers     = 2  // servers that take requests, in each cohort
	simOldFactor   = 19 // responses of old servers for each of the target
	simEvaluations = 5  // evaluations a second; fewer than routers make, to save time
)

// run returns the verdict, the time in seconds at which it became Bad, and how many bad responses
// the target gave until then.
func (s judgeSim) run(seed int64) (Verdict, float64, int) {
	rng := rand.New(rand.NewSource(seed))
	judge := NewJudge()
	counts := cells{}
	badResponses := 0
	verdict := Undecided
	for evaluation := 1; float64(evaluation)/simEvaluations <= s.seconds; evaluation++ {
		at := float64(evaluation) / simEvaluations
		badResponses += s.addResponses(rng, at, true, counts)
		s.addResponses(rng, at, false, counts)
		verdict = judge.evaluate(time.Duration(evaluation)*time.Second/simEvaluations, maps.Clone(counts))
		if verdict == Bad {
			return Bad, at, badResponses
		}
	}
	return verdict, s.seconds, badResponses
}

func (s judgeSim) addResponses(rng *rand.Rand, at float64, target bool, counts cells) int {
	mean := s.perSecond / simEvaluations
	if !target {
		mean *= simOldFactor
	}
	n := int(mean)
	if rng.Float64() < mean-float64(n) {
		n++
	}
	badResponses := 0
	for range n {
		route, cohort, server := rng.Intn(simRoutes), rng.Intn(simCohorts), rng.Intn(simServers)
		if rng.Float64() < 0.5 {
			route = 0 // one route has most of the requests
		}
		k := cellKey{Route: string(rune('a' + route)), Cohort: string(rune('x' + cohort)), Target: target}
		bad := rng.Float64() < s.bad(at, route, cohort, server, target)
		switch {
		case !bad:
			counts.count(k, Tally{Good: 1})
		case s.afterStart:
			counts.count(k, Tally{Good: 1})
		default:
			counts.count(k, Tally{Bad: 1})
		}
		if bad {
			badResponses++
		}
		if s.afterStart || !bad {
			k.AfterStart = true
			t := Tally{Good: 1}
			if bad {
				t = Tally{Bad: 1}
			}
			counts.count(k, t)
		}
	}
	return badResponses
}

type badRate = func(at float64, route, cohort, server int, target bool) float64

const simBaseRate = 0.01

func eitherFails(a, b float64) float64 { return 1 - (1-a)*(1-b) }

func baseRate(float64, int, int, int, bool) float64 { return simBaseRate }

func goodCases() map[string]badRate {
	return map[string]badRate{
		"plain": baseRate,
		"beside a grey server of the target": func(_ float64, _, cohort, server int, target bool) float64 {
			if target && cohort == 0 && server == 0 {
				return 0.4
			}
			return simBaseRate
		},
		"beside a grey old server": func(_ float64, _, cohort, server int, target bool) float64 {
			if !target && cohort == 0 && server == 0 {
				return 0.4
			}
			return simBaseRate
		},
		"beside a lossy hall": func(_ float64, _, cohort, _ int, _ bool) float64 {
			if cohort == 1 {
				return 0.4
			}
			return simBaseRate
		},
		"in a flood": func(float64, int, int, int, bool) float64 { return 0.4 },
		"as a flood begins and ends": func(at float64, _, _, _ int, _ bool) float64 {
			if at > 5.3 && at < 12.7 {
				return 0.4
			}
			return simBaseRate
		},
	}
}

func worseTarget(extra float64, when func(at float64, route int) bool) badRate {
	return func(at float64, route, _, _ int, target bool) float64 {
		if target && when(at, route) {
			return eitherFails(simBaseRate, extra)
		}
		return simBaseRate
	}
}

func atOnce(float64, int) bool               { return true }
func afterTenSeconds(at float64, _ int) bool { return at > 10 }
func inWaves(at float64, _ int) bool         { return int(at)%6 < 3 }
func onOneRoute(_ float64, route int) bool   { return route == 1 }

type badCase struct {
	bad        badRate
	afterStart bool
	atOnce     bool // on all routes: nearly all must be found before the ramp
	ownFault   bool // all its bad responses are caused by the version
}

func badCases() map[string]badCase {
	return map[string]badCase{
		"30% at once":       {worseTarget(0.3, atOnce), false, true, true},
		"40% at once":       {worseTarget(0.4, atOnce), false, true, true},
		"30% slow at once":  {worseTarget(0.3, atOnce), true, true, true},
		"30% later":         {worseTarget(0.3, afterTenSeconds), false, false, true},
		"35% under load":    {worseTarget(0.35, inWaves), false, false, true},
		"35% on one route":  {worseTarget(0.35, onOneRoute), false, false, true},
		"35% slow, a route": {worseTarget(0.35, onOneRoute), true, false, true},
		"40% in a flood": {func(_ float64, _, _, _ int, target bool) float64 {
			if target {
				return eitherFails(0.4, 0.4)
			}
			return 0.4
		}, false, false, false},
	}
}

const (
	simSeeds   = 1000
	simSeconds = 25
	// Responses of the target a second, over all routes and cohorts: of a busy service and of
	// one with little traffic.
	highRate = 25
	lowRate  = 6
)

// atRates runs a test of each case at a high and at a low rate of responses.
func atRates[C any](t *testing.T, cases map[string]C, test func(t *testing.T, name string, c C, rate float64)) {
	for name, c := range cases {
		for _, rate := range []float64{highRate, lowRate} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				test(t, name, c, rate)
			})
		}
	}
}

// TestRolloutJudgeSpares measures how often a good version is found bad, and verifies that
// nearly all are found good before the ramp.
func TestRolloutJudgeSpares(t *testing.T) {
	t.Parallel()
	atRates(t, goodCases(), func(t *testing.T, name string, bad badRate, rate float64) {
		falseAlarms, passed := 0, 0
		for seed := range int64(simSeeds) {
			verdict, _, _ := judgeSim{perSecond: rate, seconds: simSeconds, bad: bad}.run(seed)
			if verdict == Bad {
				falseAlarms++
			}
			if verdict == Good {
				passed++
			}
		}
		t.Logf("%s, %g a second: %d of %d found bad, %d good", name, rate, falseAlarms, simSeeds, passed)
		require.LessOrEqual(t, falseAlarms, simSeeds/200)
		require.GreaterOrEqual(t, passed, simSeeds*99/100)
	})
}

// TestRolloutJudgeFinds measures how many bad versions are missed before the ramp, and how
// many bad responses the others gave until they were found.
func TestRolloutJudgeFinds(t *testing.T) {
	t.Parallel()
	atRates(t, badCases(), func(t *testing.T, name string, c badCase, rate float64) {
		missed, passed, atLimit, maxBad, totalBad, totalTime := 0, 0, 0, 0, 0, 0.0
		for seed := range int64(simSeeds) {
			verdict, at, badResponses := judgeSim{rate, simSeconds, c.bad, c.afterStart}.run(seed)
			if verdict != Bad {
				missed++
				if verdict == Good {
					passed++
				}
				continue
			}
			if badResponses >= 50 {
				atLimit++
			}
			maxBad = max(maxBad, badResponses)
			totalBad += badResponses
			totalTime += at
		}
		found := max(1, simSeeds-missed)
		t.Logf("%s, %g a second: %d of %d missed (%d found good); bad responses until found: mean %.1f, most %d, 50 or more in %d; mean time %.2f s",
			name, rate, missed, simSeeds, passed, float64(totalBad)/float64(found), maxBad, atLimit, totalTime/float64(found))
		if c.atOnce || rate == highRate {
			require.LessOrEqual(t, missed, simSeeds/100)
		}
		if c.ownFault {
			require.LessOrEqual(t, atLimit, simSeeds/100)
		}
	})
}

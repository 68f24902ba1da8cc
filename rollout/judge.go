package rollout

import (
	"math"
	"time"
)

// Verdict is what the evidence says of a version.
type Verdict uint8

// The verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)

// String names the verdict for logs.
func (v Verdict) String() string { return [...]string{"undecided", "good", "bad"}[v] }

const (
	// worseBy is by how much the part of bad answers of a bad version is above that of old
	// servers. Versions that matter to callers are worse by a third or more; the test is for
	// less, so that it finds all of these.
	badRateIncrease = 0.2
	// alpha is the probability with which one test may judge a good version bad. A roll-out
	// makes many tests, over routes, kinds of answers and time, and of 200 good versions
	// fewer than one may be rolled back.
	alpha = 1e-4
	// beta is the probability with which a bad version may pass as good before the ramp: the
	// test goes on after it, so it may be higher than alpha.
	beta = 0.005
	// leastGood is how many good answers a version needs, however well they speak: fewer
	// can't show a fault that only some requests meet.
	minGood = 20
	// suspectPart of the bound makes the ramp wait, or go back: it takes two or three bad
	// answers more than expected.
	suspectFraction = 0.5
	// relaxedPart of the bound is what is left against a version that is tried again.
	retainedFraction = 0.4
	// sliceFor is the length of the slices of time in which the target's answers are compared
	// with the old servers': in shorter ones a cell holds too few answers, and in longer ones
	// overload that has just begun is compared with the normal load before it.
	sliceDuration = time.Second
)

// testKey names a test: of one route or all (""), of one kind of answers or both.
type testKey struct {
	Route string
	Phase phase
}

type phase uint8

const (
	anyPhase phase = iota
	startPhase
	afterStartPhase
)

// Judge tells from counts of answers whether a version is bad. It compares the target's
// answers with those of the old servers in the same second, route and cohort by sequential
// tests: Wald's likelihood ratio, summed from the moment since which it speaks most against
// the version (Page's CUSUM). Such a sum finds both a version that is bad from its start and
// one that turns bad later, without windows of a fixed length. The sums follow the order of the
// looks, also within a second: the good answers at its start are no excuse for the bad ones
// at its end.
type Judge struct {
	sliceBase      cells                 // all counts at the start of the open slice
	slice          cells                 // the open slice, as of the last look
	increments     []cells               // what each look of the open slice has brought of the target
	incrementSum   cells                 // the sum of steps
	sliceStartedAt time.Duration         // when it started
	started        bool                  // a slice is open
	tests          map[testKey]*evidence // up to the open slice
	current        map[testKey]*evidence // the same with the open slice
	baseline       baseline
	good           uint32 // good answers of the target, in all
}

// NewJudge returns a judge without evidence.
func NewJudge() *Judge {
	return &Judge{
		incrementSum: cells{},
		tests:        map[testKey]*evidence{},
		current:      map[testKey]*evidence{},
		baseline:     baseline{},
	}
}

// Evaluate takes in the counts of all routers since the order, and returns the verdict.
func (j *Judge) Evaluate(now time.Duration, counts []Cell) Verdict {
	return j.evaluate(now, cellsOf(counts))
}

func (j *Judge) evaluate(now time.Duration, all cells) Verdict {
	if !j.started {
		j.started, j.sliceStartedAt = true, now
	}
	j.slice = all.since(j.sliceBase)
	increment := j.slice.since(j.incrementSum).ofTarget()
	j.incrementSum.add(increment)
	j.increments = append(j.increments, increment)
	j.good = all.total(true).Good
	j.current = j.testsWithSlice()
	if now-j.sliceStartedAt >= sliceDuration {
		j.closeSlice(now, all)
	}
	return j.Verdict()
}

// skip takes counts as known without judging them: only what comes on top is judged.
func (j *Judge) skip(now time.Duration, all cells) {
	if j.started {
		j.closeSlice(now, all)
	}
}

// close ends the open slice of time and opens the next.
func (j *Judge) closeSlice(now time.Duration, all cells) {
	j.tests = j.current
	j.sliceBase = all
	j.sliceStartedAt = now
	j.baseline.update(j.slice)
	j.slice, j.increments, j.incrementSum = nil, nil, cells{}
}

// withSlice returns copies of the tests with the open slice added.
func (j *Judge) testsWithSlice() map[testKey]*evidence {
	sums := map[testKey]*evidence{}
	for key, e := range j.tests {
		sums[key] = e.clone()
	}
	routes := oldByRoute(j.slice)
	for _, increment := range j.increments {
		for key, r := range j.ratios(increment, routes) {
			evidenceOf(sums, key).addAgainst(r)
		}
	}
	evidenceOf(sums, testKey{}).addInFavour(j.overallRatios(routes))
	return sums
}

func evidenceOf(sums map[testKey]*evidence, key testKey) *evidence {
	if sums[key] == nil {
		sums[key] = &evidence{}
	}
	return sums[key]
}

// ratios returns, for each test, the likelihood ratios of counts by cohort, against the old
// servers' answers in the open slice.
func (j *Judge) ratios(counts cells, routes map[routePhase]weightedCount) map[testKey]ratios {
	found := map[testKey]ratios{}
	for _, k := range counts.targetKeys() {
		r := j.ratio(k, counts[k], routes)
		for _, key := range testsOf(k) {
			found[key] = found[key].plus(r)
		}
	}
	return found
}

// wholeRatios returns those of the open slice for the test over all routes and kinds, which
// alone decides that a version is good.
func (j *Judge) overallRatios(routes map[routePhase]weightedCount) ratios {
	var found ratios
	for _, k := range j.slice.targetKeys() {
		found = found.plus(j.ratio(k, j.slice[k], routes))
	}
	return found
}

// ratio returns the likelihood ratio of one cell's counts.
func (j *Judge) ratio(k cellKey, t Tally, routes map[routePhase]weightedCount) ratio {
	return ratio{k.Cohort, logLikelihoodRatio(t, j.baseline.expected(j.slice, routes, k)), t.responses()}
}

// logRatio says how much likelier answers are from a bad version than from a good one.
func logLikelihoodRatio(t Tally, expected float64) float64 {
	worse := expected + badRateIncrease
	return float64(t.Bad)*math.Log(worse/expected) +
		float64(t.Good)*math.Log((1-worse)/(1-expected))
}

// testsOf returns the tests that a cell's answers count in.
func testsOf(k cellKey) []testKey {
	phase := startPhase
	if k.AfterStart {
		phase = afterStartPhase
	}
	return []testKey{{k.Route, phase}, {k.Route, anyPhase}, {"", phase}, {"", anyPhase}}
}

// Verdict is that of the last look.
func (j *Judge) Verdict() Verdict {
	against := j.against()
	if against >= badThreshold() {
		return Bad
	}
	overall := j.current[testKey{}]
	if overall == nil || j.good < minGood || against >= suspectThreshold() {
		return Undecided
	}
	if overall.inFavour > math.Log(beta) {
		return Undecided
	}
	return Good
}

// Suspected tells whether so much speaks against the version that it must get no more than
// it takes to judge it: too little to reject it, as more answers may yet clear it.
func (j *Judge) Suspected() bool { return j.against() >= suspectThreshold() }

// WeaklySuspected tells whether as much speaks against the version as makes it suspect when no cohort is left
// out: it may be one faulty server, or the first servers of a version that turns bad.
func (j *Judge) WeaklySuspected() bool {
	for _, e := range j.current {
		if e.all >= suspectThreshold() {
			return true
		}
	}
	return false
}

// badAt is the sum of log likelihood ratios from which a version is bad.
func badThreshold() float64 { return -math.Log(alpha) }

// suspectAt is the sum from which a version is suspected.
func suspectThreshold() float64 { return suspectFraction * badThreshold() }

// against is the greatest sum of all tests.
func (j *Judge) against() float64 {
	largest := 0.0
	for _, e := range j.current {
		largest = max(largest, e.against())
	}
	if overall := j.current[testKey{}]; overall != nil {
		largest = max(largest, overall.againstByCohort())
	}
	return largest
}

// CapEvidence lets a version that was judged bad be tried again. Part of the evidence against it
// stays, so that a few more bad answers are enough the next time.
func (j *Judge) CapEvidence() {
	for _, e := range j.tests {
		e.capAt(retainedFraction * badThreshold())
	}
	for _, e := range j.current {
		e.capAt(retainedFraction * badThreshold())
	}
}

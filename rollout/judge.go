package rollout

import (
	"math"
	"time"
)

// Verdict is the result of evaluating a version's evidence.
type Verdict uint8

// The verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)

// String returns the name of the verdict for logs.
func (v Verdict) String() string { return [...]string{"undecided", "good", "bad"}[v] }

const (
	// badRateIncrease is how much the rate of bad responses of a bad version exceeds that of old
	// servers. Versions that matter to callers are worse by a third or more; the test assumes
	// less, so that it finds all of these.
	badRateIncrease = 0.2
	// alpha is the probability that one test finds a good version bad. A rollout makes many
	// tests, over routes, phases and time, and of 200 good versions fewer than one may be
	// rolled back.
	alpha = 1e-4
	// beta is the probability that a bad version passes as good before the ramp. The test
	// continues after it, so beta may exceed alpha.
	beta = 0.005
	// minGood is the least number of good responses for the verdict Good: fewer can't show a
	// fault that affects only some requests.
	minGood = 20
	// suspectFraction is the fraction of badThreshold from which a version is suspected: the
	// ramp waits or goes back. Two or three bad responses more than expected reach it.
	suspectFraction = 0.5
	// retainedFraction is the fraction of badThreshold that evidence against a version is capped
	// at when the version is retried.
	retainedFraction = 0.4
	// sliceDuration is the length of the slices of time in which the target's responses are
	// compared with those of the old servers. In shorter slices a cell holds too few responses;
	// in longer ones, an overload that has just begun is compared with the normal load before it.
	sliceDuration = time.Second
)

// testKey identifies a test: of one route or all (""), of one phase or both.
type testKey struct {
	Route string
	Phase phase
}

// phase selects the outcomes that a test includes: of the starts of responses, of the rest
// after the first event, or both.
type phase uint8

const (
	anyPhase phase = iota
	startPhase
	afterStartPhase
)

// Judge decides from counts of responses whether a version is bad. It compares the target's
// responses with those of the old servers in the same second, route and cohort by sequential
// tests: Wald's likelihood ratio, summed over the period up to now for which the sum is largest
// (Page's CUSUM). Such a sum finds both a version that is bad from its start and one that turns
// bad later, without windows of a fixed length. The sums follow the order of the evaluations, also
// within a second: good responses at its start don't offset bad ones at its end.
type Judge struct {
	sliceBase      cells                 // all counts at the start of the open slice
	slice          cells                 // counts of the open slice, at the last evaluation
	increments     []cells               // the target's counts that each evaluation of the open slice added
	incrementSum   cells                 // sum of increments
	sliceStartedAt time.Duration         // start of the open slice
	started        bool                  // the first slice has been opened
	tests          map[testKey]*evidence // evidence before the open slice
	current        map[testKey]*evidence // evidence including the open slice
	baseline       baseline
	good           uint32 // total good responses of the target
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

// Evaluate evaluates the counts of all routers, summed since the order, and returns the verdict.
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

// skip excludes the present counts from evaluation: only later increments are evaluated.
func (j *Judge) skip(now time.Duration, all cells) {
	if j.started {
		j.closeSlice(now, all)
	}
}

// closeSlice ends the open slice and opens the next.
func (j *Judge) closeSlice(now time.Duration, all cells) {
	j.tests = j.current
	j.sliceBase = all
	j.sliceStartedAt = now
	j.baseline.update(j.slice)
	j.slice, j.increments, j.incrementSum = nil, nil, cells{}
}

// testsWithSlice returns copies of the tests with the open slice added.
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

// ratios returns, for each test, the log likelihood ratios of counts by cohort, relative to the
// old servers' responses in the open slice.
func (j *Judge) ratios(counts cells, routes map[routePhase]weightedCount) map[testKey]cohortRatios {
	found := map[testKey]cohortRatios{}
	for _, k := range counts.targetKeys() {
		r := j.ratio(k, counts[k], routes)
		for _, key := range testsOf(k) {
			found[key] = found[key].plus(r)
		}
	}
	return found
}

// overallRatios returns the ratios of the open slice for the test over all routes and phases,
// the only test that can find a version good.
func (j *Judge) overallRatios(routes map[routePhase]weightedCount) cohortRatios {
	var found cohortRatios
	for _, k := range j.slice.targetKeys() {
		found = found.plus(j.ratio(k, j.slice[k], routes))
	}
	return found
}

// ratio returns the log likelihood ratio of one cell's counts.
func (j *Judge) ratio(k cellKey, t Tally, routes map[routePhase]weightedCount) cohortRatio {
	return cohortRatio{k.Cohort, logLikelihoodRatio(t, j.baseline.expected(j.slice, routes, k)), t.responses()}
}

// logLikelihoodRatio returns the log likelihood ratio of t, for a bad version against a good one.
func logLikelihoodRatio(t Tally, expected float64) float64 {
	worse := expected + badRateIncrease
	return float64(t.Bad)*math.Log(worse/expected) +
		float64(t.Good)*math.Log((1-worse)/(1-expected))
}

// testsOf returns the tests that include a cell's responses.
func testsOf(k cellKey) []testKey {
	phase := startPhase
	if k.AfterStart {
		phase = afterStartPhase
	}
	return []testKey{{k.Route, phase}, {k.Route, anyPhase}, {"", phase}, {"", anyPhase}}
}

// Verdict returns the verdict of the last evaluation.
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

// Suspected reports whether the evidence is strong enough to limit the version to the requests
// needed for a verdict. It may be too weak to reject the version: more responses may clear it.
func (j *Judge) Suspected() bool { return j.against() >= suspectThreshold() }

// WeaklySuspected reports whether any test reaches the suspect threshold with no cohort
// excluded: the cause may be one faulty server, or the first servers of a version that turns bad.
func (j *Judge) WeaklySuspected() bool {
	for _, e := range j.current {
		if e.all >= suspectThreshold() {
			return true
		}
	}
	return false
}

// badThreshold returns the sum of log likelihood ratios at which a version is bad.
func badThreshold() float64 { return -math.Log(alpha) }

// suspectThreshold returns the sum at which a version is suspected.
func suspectThreshold() float64 { return suspectFraction * badThreshold() }

// against returns the largest sum of all tests against the target.
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

// CapEvidence prepares a retry of a version that was found bad. It keeps part of the evidence
// against it, so that a few more bad responses suffice the next time.
func (j *Judge) CapEvidence() {
	for _, e := range j.tests {
		e.capAt(retainedFraction * badThreshold())
	}
	for _, e := range j.current {
		e.capAt(retainedFraction * badThreshold())
	}
}

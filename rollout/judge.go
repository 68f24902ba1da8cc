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
	worseBy = 0.2
	// alpha is the probability with which one test may judge a good version bad. A roll-out
	// makes many tests, over routes, kinds of answers and time, and of 200 good versions
	// fewer than one may be rolled back.
	alpha = 1e-4
	// beta is the probability with which a bad version may pass as good before the ramp: the
	// test goes on after it, so it may be higher than alpha.
	beta = 0.005
	// leastGood is how many good answers a version needs, however well they speak: fewer
	// can't show a fault that only some requests meet.
	leastGood = 20
	// suspectPart of the bound makes the ramp wait, or go back: it takes two or three bad
	// answers more than expected.
	suspectPart = 0.5
	// relaxedPart of the bound is what is left against a version that is tried again.
	relaxedPart = 0.4
	// sliceFor is the length of the slices of time in which the target's answers are compared
	// with the old servers': in shorter ones a cell holds too few answers, and in longer ones
	// overload that has just begun is compared with the normal load before it.
	sliceFor = time.Second
)

// testKey names a test: of one route or all (""), of one kind of answers or both.
type testKey struct {
	Route string
	Kind  kind
}

type kind uint8

const (
	anyKind kind = iota
	beginning
	later
)

// Judge tells from counts of answers whether a version is bad. It compares the target's
// answers with those of the old servers in the same second, route and cohort by sequential
// tests: Wald's likelihood ratio, summed from the moment since which it speaks most against
// the version (Page's CUSUM). Such a sum finds both a version that is bad from its start and
// one that turns bad later, without windows of a fixed length. The sums follow the order of the
// looks, also within a second: the good answers at its start are no excuse for the bad ones
// at its end.
type Judge struct {
	base     cells                 // all counts at the start of the open slice
	slice    cells                 // the open slice, as of the last look
	steps    []cells               // what each look of the open slice has brought of the target
	stepped  cells                 // the sum of steps
	sliceAt  time.Duration         // when it started
	began    bool                  // a slice is open
	tests    map[testKey]*evidence // up to the open slice
	looked   map[testKey]*evidence // the same with the open slice
	baseline baseline
	good     uint32 // good answers of the target, in all
}

// NewJudge returns a judge without evidence.
func NewJudge() *Judge {
	return &Judge{
		stepped:  cells{},
		tests:    map[testKey]*evidence{},
		looked:   map[testKey]*evidence{},
		baseline: baseline{},
	}
}

// Evaluate takes in the counts of all routers since the order, and returns the verdict.
func (j *Judge) Evaluate(now time.Duration, counts []Cell) Verdict {
	return j.look(now, cellsOf(counts))
}

func (j *Judge) look(now time.Duration, all cells) Verdict {
	if !j.began {
		j.began, j.sliceAt = true, now
	}
	j.slice = all.since(j.base)
	step := j.slice.since(j.stepped).ofTarget()
	j.stepped.add(step)
	j.steps = append(j.steps, step)
	j.good = all.total(true).Good
	j.looked = j.withSlice()
	if now-j.sliceAt >= sliceFor {
		j.close(now, all)
	}
	return j.Verdict()
}

// skip takes counts as known without judging them: only what comes on top is judged.
func (j *Judge) skip(now time.Duration, all cells) {
	if j.began {
		j.close(now, all)
	}
}

// close ends the open slice of time and opens the next.
func (j *Judge) close(now time.Duration, all cells) {
	j.tests = j.looked
	j.base = all
	j.sliceAt = now
	j.baseline.learn(j.slice)
	j.slice, j.steps, j.stepped = nil, nil, cells{}
}

// withSlice returns copies of the tests with the open slice added.
func (j *Judge) withSlice() map[testKey]*evidence {
	sums := map[testKey]*evidence{}
	for key, e := range j.tests {
		sums[key] = e.clone()
	}
	routes := oldByRoute(j.slice)
	for _, step := range j.steps {
		for key, r := range j.ratios(step, routes) {
			sumOf(sums, key).addAgainst(r)
		}
	}
	sumOf(sums, testKey{}).addInFavour(j.wholeRatios(routes))
	return sums
}

func sumOf(sums map[testKey]*evidence, key testKey) *evidence {
	if sums[key] == nil {
		sums[key] = &evidence{}
	}
	return sums[key]
}

// ratios returns, for each test, the likelihood ratios of counts by cohort, against the old
// servers' answers in the open slice.
func (j *Judge) ratios(counts cells, routes map[routeKind]share) map[testKey]ratios {
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
func (j *Judge) wholeRatios(routes map[routeKind]share) ratios {
	var found ratios
	for _, k := range j.slice.targetKeys() {
		found = found.plus(j.ratio(k, j.slice[k], routes))
	}
	return found
}

// ratio returns the likelihood ratio of one cell's counts.
func (j *Judge) ratio(k cellKey, t Tally, routes map[routeKind]share) ratio {
	return ratio{k.Cohort, logRatio(t, j.baseline.expected(j.slice, routes, k)), t.answers()}
}

// logRatio says how much likelier answers are from a bad version than from a good one.
func logRatio(t Tally, expected float64) float64 {
	worse := expected + worseBy
	return float64(t.Bad)*math.Log(worse/expected) +
		float64(t.Good)*math.Log((1-worse)/(1-expected))
}

// testsOf returns the tests that a cell's answers count in.
func testsOf(k cellKey) []testKey {
	kind := beginning
	if k.AfterStart {
		kind = later
	}
	return []testKey{{k.Route, kind}, {k.Route, anyKind}, {"", kind}, {"", anyKind}}
}

// Verdict is that of the last look.
func (j *Judge) Verdict() Verdict {
	against := j.against()
	if against >= badAt() {
		return Bad
	}
	whole := j.looked[testKey{}]
	if whole == nil || j.good < leastGood || against >= suspectAt() {
		return Undecided
	}
	if whole.inFavour > math.Log(beta) {
		return Undecided
	}
	return Good
}

// Suspected tells whether so much speaks against the version that it must get no more than
// it takes to judge it: too little to reject it, as more answers may yet clear it.
func (j *Judge) Suspected() bool { return j.against() >= suspectAt() }

// WeaklySuspected tells whether as much speaks against the version as makes it suspect when no cohort is left
// out: it may be one faulty server, or the first servers of a version that turns bad.
func (j *Judge) WeaklySuspected() bool {
	for _, e := range j.looked {
		if e.all >= suspectAt() {
			return true
		}
	}
	return false
}

// badAt is the sum of log likelihood ratios from which a version is bad.
func badAt() float64 { return -math.Log(alpha) }

// suspectAt is the sum from which a version is suspected.
func suspectAt() float64 { return suspectPart * badAt() }

// against is the greatest sum of all tests.
func (j *Judge) against() float64 {
	most := 0.0
	for _, e := range j.looked {
		most = max(most, e.against())
	}
	if whole := j.looked[testKey{}]; whole != nil {
		most = max(most, whole.inTwoCohorts())
	}
	return most
}

// CapEvidence lets a version that was judged bad be tried again. Part of the evidence against it
// stays, so that a few more bad answers are enough the next time.
func (j *Judge) CapEvidence() {
	for _, e := range j.tests {
		e.relax(relaxedPart * badAt())
	}
	for _, e := range j.looked {
		e.relax(relaxedPart * badAt())
	}
}

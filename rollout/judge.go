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
	// worseBy is how much more often answers of a bad version are bad: below the third
	// or more that matters to callers, so that all of these are found.
	worseBy = 0.2
	// alpha is how likely a test may call a good version bad in one run of evidence: a
	// roll-out has many runs, over routes and kinds of answers and from second to second,
	// and less than one in 200 good versions may be taken back.
	alpha = 1e-4
	// beta is how likely a bad version may pass as good before the ramp.
	beta = 0.005
	// leastGood is how many good answers a version needs, however well they speak: fewer
	// can't show a fault that only some requests meet.
	leastGood = 20
	// suspectPart of the bound makes the ramp wait: it takes two or three bad answers
	// more than expected.
	suspectPart = 0.5
	// relaxedPart of the bound is what is left against a version that is tried again.
	relaxedPart = 0.4
	// sliceFor is the time over which new answers are compared with old ones: shorter,
	// and there are too few old ones in a cell; longer, and a flood that has just begun
	// is compared with the calm before.
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

// Judge tells from counts of answers whether a version is bad. It is a sequential test
// (Wald's ratio, summed from whenever it speaks most against the version, after Page)
// of the target's answers against those of the old servers in the same second, route
// and cohort. Such a sum finds both a version that is bad at once and one that turns
// bad, without windows of a fixed length.
type Judge struct {
	base     cells
	slice    cells // open, as of the last look
	sliceAt  time.Duration
	began    bool
	tests    map[testKey]*evidence // up to the open slice
	looked   map[testKey]*evidence // with the open slice
	baseline baseline
	good     uint32
}

// NewJudge returns a judge who has seen nothing.
func NewJudge() *Judge {
	return &Judge{
		tests:    map[testKey]*evidence{},
		looked:   map[testKey]*evidence{},
		baseline: baseline{},
	}
}

// Look takes in all counts since the order, of all routers.
func (j *Judge) Look(now time.Duration, counts []Cell) Verdict {
	return j.look(now, cellsOf(counts))
}

func (j *Judge) look(now time.Duration, all cells) Verdict {
	if !j.began {
		j.began, j.sliceAt = true, now
	}
	slice := all.since(j.base)
	j.good = all.total(true).Good
	j.looked = j.with(slice)
	j.slice = slice
	if now-j.sliceAt >= sliceFor {
		j.close(now, all)
	}
	return j.Verdict()
}

// skip takes counts as known, however they come about: only what comes on top is judged.
func (j *Judge) skip(now time.Duration, all cells) {
	if j.began {
		j.close(now, all)
	}
}

func (j *Judge) close(now time.Duration, all cells) {
	j.tests = j.looked
	j.base = all
	j.sliceAt = now
	j.baseline.learn(j.slice)
	j.slice = nil
}

// with returns the tests with a slice added.
func (j *Judge) with(slice cells) map[testKey]*evidence {
	sums := map[testKey]*evidence{}
	for key, e := range j.tests {
		sums[key] = e.clone()
	}
	for key, r := range j.ratios(slice) {
		if sums[key] == nil {
			sums[key] = &evidence{}
		}
		sums[key].add(r)
	}
	return sums
}

func (j *Judge) ratios(slice cells) map[testKey]ratios {
	found := map[testKey]ratios{}
	routes := oldByRoute(slice)
	for _, k := range slice.targetKeys() {
		t := slice[k]
		log := logRatio(t, j.baseline.expected(slice, routes, k))
		for _, key := range testsOf(k) {
			found[key] = found[key].plus(ratio{k.Cohort, log, t.answers()})
		}
	}
	return found
}

// logRatio says how much likelier answers are from a bad version than from a good one.
func logRatio(t Tally, expected float64) float64 {
	worse := expected + worseBy
	return float64(t.Bad)*math.Log(worse/expected) +
		float64(t.Good)*math.Log((1-worse)/(1-expected))
}

func testsOf(k cellKey) []testKey {
	kind := beginning
	if k.Later {
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
	if whole == nil || j.good < leastGood || against >= suspectPart*badAt() {
		return Undecided
	}
	if whole.fit > math.Log(beta) {
		return Undecided
	}
	return Good
}

func badAt() float64 { return -math.Log(alpha) }

func (j *Judge) against() float64 {
	most := 0.0
	for _, e := range j.looked {
		most = max(most, e.against())
	}
	return most
}

// Relax lets a version that was judged bad be tried again, under suspicion: a few more
// bad answers are enough the next time.
func (j *Judge) Relax() {
	for _, e := range j.tests {
		e.relax(relaxedPart * badAt())
	}
	for _, e := range j.looked {
		e.relax(relaxedPart * badAt())
	}
}

package rollout

import "slices"

// minOtherFraction is the fraction of a test's responses that must come from other cohorts
// for one to be excluded: with a tenth, a bad version is still found, but more slowly.
const minOtherFraction = 0.1

// secondFraction is the fraction of the largest cohort sum that the second largest must reach
// to confirm it.
const secondFraction = 0.5

// evidence holds the running sums of one test. A sum adds up log likelihood ratios of a bad
// version to a good one, and is never below 0 (Page's CUSUM): it is the largest sum over any
// period that ends now.
type evidence struct {
	all     float64
	cohorts []cohortEvidence
	// inFavour is the same sum clamped to at most 0: the smallest sum over any period that ends
	// now. In each slice it excludes the cohort with the largest ratio against the target.
	inFavour float64
}

// cohortEvidence holds a test's sums for one cohort.
type cohortEvidence struct {
	cohort    string
	excluding float64 // sum of the test without this cohort
	own       float64 // sum of this cohort alone
	responses float64
}

func (e *evidence) clone() *evidence {
	c := *e
	c.cohorts = slices.Clone(e.cohorts)
	return &c
}

// cohortRatio holds the log likelihood ratio of one cohort's responses, of a slice or of one
// evaluation.
type cohortRatio struct {
	cohort    string
	logRatio  float64
	responses float64
}

type cohortRatios []cohortRatio

// of returns the log likelihood ratio of a cohort, 0 without responses.
func (r cohortRatios) of(cohort string) float64 {
	i := slices.IndexFunc(r, func(x cohortRatio) bool { return x.cohort == cohort })
	if i < 0 {
		return 0
	}
	return r[i].logRatio
}

func (r cohortRatios) plus(add cohortRatio) cohortRatios {
	i := slices.IndexFunc(r, func(x cohortRatio) bool { return x.cohort == add.cohort })
	if i < 0 {
		return append(r, add)
	}
	r[i].logRatio += add.logRatio
	r[i].responses += add.responses
	return r
}

// addAgainst adds the responses of one evaluation to the sums against the target.
func (e *evidence) addAgainst(increment cohortRatios) {
	sum := 0.0
	for _, r := range increment {
		sum += r.logRatio
		e.getOrAddCohort(r.cohort).responses += r.responses
	}
	for i := range e.cohorts {
		c := &e.cohorts[i]
		own := increment.of(c.cohort)
		c.excluding = max(0, c.excluding+sum-own)
		c.own = max(0, c.own+own)
	}
	e.all = max(0, e.all+sum)
}

// addInFavour adds the responses of a slice to the sum in favour of the target.
func (e *evidence) addInFavour(slice cohortRatios) {
	sum, largest := 0.0, 0.0
	for _, r := range slice {
		sum += r.logRatio
		largest = max(largest, r.logRatio)
	}
	e.inFavour = min(0, e.inFavour+sum-largest)
}

// getOrAddCohort returns the cohort's sums. Until a cohort is added, the sum without it equals e.all.
func (e *evidence) getOrAddCohort(name string) *cohortEvidence {
	i := slices.IndexFunc(e.cohorts, func(c cohortEvidence) bool { return c.cohort == name })
	if i < 0 {
		i = len(e.cohorts)
		e.cohorts = append(e.cohorts, cohortEvidence{cohort: name, excluding: e.all})
	}
	return &e.cohorts[i]
}

// againstByCohort returns the evidence against the target with each cohort taken alone: the
// largest sum, as far as the second largest confirms it. This shows servers that turn bad cohort
// by cohort while the good responses of the others still hide them in the common sum.
func (e *evidence) againstByCohort() float64 {
	largest, second := 0.0, 0.0
	for _, c := range e.cohorts {
		if c.own > largest {
			largest, second = c.own, largest
			continue
		}
		second = max(second, c.own)
	}
	return min(largest, second/secondFraction)
}

// against returns the evidence against the target without the cohort that contributes most: one
// cohort may be faulty whatever its version.
func (e *evidence) against() float64 {
	total := 0.0
	for _, c := range e.cohorts {
		total += c.responses
	}
	smallest, found := e.all, false
	for _, c := range e.cohorts {
		if total-c.responses < minOtherFraction*total {
			continue
		}
		if !found || c.excluding < smallest {
			smallest, found = c.excluding, true
		}
	}
	return smallest
}

// capAt lowers the sums against the target to at most limit.
func (e *evidence) capAt(limit float64) {
	e.all = min(e.all, limit)
	for i := range e.cohorts {
		e.cohorts[i].excluding = min(e.cohorts[i].excluding, limit)
		e.cohorts[i].own = min(e.cohorts[i].own, limit)
	}
}

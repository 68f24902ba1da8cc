package rollout

import "slices"

// leastOthers is the part of a test's answers that must come from other cohorts before
// one may be left out: a tenth still finds a bad version, if more slowly.
const minOtherFraction = 0.1

// secondPart is the part of the greatest sum of one cohort that the second greatest must reach to confirm it.
const secondFraction = 0.5

// evidence is the running sum of one test. It adds up log likelihood ratios, bad version
// against good, and is never below 0 (Page's CUSUM): so it is the sum over that stretch of
// time, up to now, that speaks most against the target.
type evidence struct {
	all     float64
	cohorts []cohortEvidence
	// inFavour is the same sum kept at or below 0, so it is that of the latest stretch of
	// time that speaks most for the target. Of each slice of time it leaves out the cohort
	// that speaks most against the target.
	inFavour float64
}

// cohortEvidence is what a test knows of one cohort.
type cohortEvidence struct {
	cohort    string
	excluding float64 // the test's sum with this cohort left out
	own       float64 // the same sum of this cohort alone
	responses float64
}

func (e *evidence) clone() *evidence {
	c := *e
	c.cohorts = slices.Clone(e.cohorts)
	return &c
}

// ratio is the log likelihood ratio of a slice of time in one cohort.
type ratio struct {
	cohort    string
	ratio     float64
	responses float64
}

type ratios []ratio

func (r ratios) of(cohort string) float64 {
	i := slices.IndexFunc(r, func(x ratio) bool { return x.cohort == cohort })
	if i < 0 {
		return 0
	}
	return r[i].ratio
}

func (r ratios) plus(add ratio) ratios {
	i := slices.IndexFunc(r, func(x ratio) bool { return x.cohort == add.cohort })
	if i < 0 {
		return append(r, add)
	}
	r[i].ratio += add.ratio
	r[i].responses += add.responses
	return r
}

// addAgainst adds the answers of one look to what speaks against the target.
func (e *evidence) addAgainst(increment ratios) {
	sum := 0.0
	for _, r := range increment {
		sum += r.ratio
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

// addInFavour adds the answers of a slice of time to what speaks for the target.
func (e *evidence) addInFavour(slice ratios) {
	sum, largest := 0.0, 0.0
	for _, r := range slice {
		sum += r.ratio
		largest = max(largest, r.ratio)
	}
	e.inFavour = min(0, e.inFavour+sum-largest)
}

// cohort finds or adds a cohort. Until it is added the sum without it is the whole sum.
func (e *evidence) getOrAddCohort(name string) *cohortEvidence {
	i := slices.IndexFunc(e.cohorts, func(c cohortEvidence) bool { return c.cohort == name })
	if i < 0 {
		i = len(e.cohorts)
		e.cohorts = append(e.cohorts, cohortEvidence{cohort: name, excluding: e.all})
	}
	return &e.cohorts[i]
}

// inTwoCohorts returns how much speaks against the target where each cohort is looked at alone: the
// greatest sum, as far as the second greatest confirms it. Servers that turn bad cohort by cohort show it
// so, while the good answers of the rest still hide it in the common sum.
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

// against returns how much speaks against the target, leaving out the cohort that does
// most.
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

// relax lowers what speaks against the target.
func (e *evidence) capAt(limit float64) {
	e.all = min(e.all, limit)
	for i := range e.cohorts {
		e.cohorts[i].excluding = min(e.cohorts[i].excluding, limit)
		e.cohorts[i].own = min(e.cohorts[i].own, limit)
	}
}

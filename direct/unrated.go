package direct

// maxUnrated is the maximum number of unrated responses held for one cell. At the failure rate
// of a good version, fewer are enough to outweigh its next failure.
const maxUnrated = 64

// unrated counts responses of the target version that did not fail and whose speed can't be
// compared with that of old servers. On their own they are no evidence for the version, which
// may be arbitrarily slow. They are reported together with the next failure: without them, a
// few failures in a thousand responses would look as if all responses had failed.
type unrated map[unratedKey]int

// unratedKey identifies the cell of evidence of a response; see rollout.Cell.
type unratedKey struct {
	route, cohort string
	afterStart    bool
}

// add holds back one response.
func (u *unrated) add(k unratedKey) {
	if *u == nil {
		*u = make(unrated)
	}
	(*u)[k] = min((*u)[k]+1, maxUnrated)
}

// take removes and returns the number of responses held.
func (u *unrated) take(k unratedKey) int {
	n := (*u)[k]
	delete(*u, k)
	return n
}

package direct

// maxUnrated is how many answers of one cell wait at the most: at any rate of failures that a good
// version has, fewer outweigh the next one.
const maxUnrated = 64

// unrated counts answers of the target that did not fail and whose speed can't be compared with
// that of old servers. They say nothing for a version, which may be as slow as it likes; but its
// failures count beside them, or a few in a thousand would look like nothing else.
type unrated map[unratedKey]int

// unratedKey names the cell of evidence that an answer belongs to; see rollout.Cell.
type unratedKey struct {
	route, cohort string
	afterStart    bool
}

// add keeps an answer back.
func (u *unrated) add(k unratedKey) {
	if *u == nil {
		*u = make(unrated)
	}
	(*u)[k] = min((*u)[k]+1, maxUnrated)
}

// take returns how many are held, and holds them no longer.
func (u *unrated) take(k unratedKey) int {
	n := (*u)[k]
	delete(*u, k)
	return n
}

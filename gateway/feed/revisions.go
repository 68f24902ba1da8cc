package feed

// Revisions are those of the content of each feed that a router knows, in the order
// of Set; 0: it knows no content. Routers of another release may know more feeds, or fewer.
type Revisions []uint64

// of returns the revision of one feed.
func (r Revisions) get(i int) uint64 {
	if i < len(r) {
		return r[i]
	}
	return 0
}

// AtLeast tells whether nothing in r is older than in other, of the feeds that r has.
func (r Revisions) AtLeast(other Revisions) bool {
	for i, revision := range r {
		if revision < other.get(i) {
			return false
		}
	}
	return true
}

// Max returns the newer of each of two revisions.
func (r Revisions) Max(other Revisions) Revisions {
	out := make(Revisions, max(len(r), len(other)))
	for i := range out {
		out[i] = max(r.get(i), other.get(i))
	}
	return out
}

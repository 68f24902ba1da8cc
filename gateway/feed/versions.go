package feed

// Versions are the revisions of the feeds that a router knows, in the order of Set; 0: it
// knows no content. Routers of another release may know more feeds, or fewer.
type Versions []uint64

// of returns the revision of one feed.
func (v Versions) of(i int) uint64 {
	if i < len(v) {
		return v[i]
	}
	return 0
}

// Reaches tells whether nothing in v is older than in other, of the feeds that v has.
func (v Versions) Reaches(other Versions) bool {
	for i, revision := range v {
		if revision < other.of(i) {
			return false
		}
	}
	return true
}

// Newest returns the newer of each of two revisions.
func (v Versions) Newest(other Versions) Versions {
	out := make(Versions, max(len(v), len(other)))
	for i := range out {
		out[i] = max(v.of(i), other.of(i))
	}
	return out
}

package feed

// Revisions holds the revision of each feed's content at one router, in the order of Set;
// 0 means no content. Routers of another release may have more feeds or fewer.
type Revisions []uint64

// get returns the revision of feed i, or 0 if r does not have the feed.
func (r Revisions) get(i int) uint64 {
	if i < len(r) {
		return r[i]
	}
	return 0
}

// AtLeast reports whether no feed in r has an older revision than in other. Feeds that r
// lacks are ignored.
func (r Revisions) AtLeast(other Revisions) bool {
	for i, revision := range r {
		if revision < other.get(i) {
			return false
		}
	}
	return true
}

// Max returns, for each feed, the newer revision of r and other.
func (r Revisions) Max(other Revisions) Revisions {
	out := make(Revisions, max(len(r), len(other)))
	for i := range out {
		out[i] = max(r.get(i), other.get(i))
	}
	return out
}

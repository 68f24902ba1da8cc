package feed

import "cmp"

// A source that comes back from a copy gives revisions out again that it has given out before, to
// other content. So what is compared is its era, which rises each time, and only then the revision:
// newer eras win whatever their revisions, and an answer from before never wins over one from after.
//
// Both are kept in one number, since routers of all builds compare and tell numbers: the era in the
// upper bits, of which a source that never came back from a copy uses none.
const (
	eraShift    = 48
	counterMask = 1<<eraShift - 1
)

// NewRevision returns how new something is: a source's revision in one of its eras.
func NewRevision(era, counter uint64) uint64 { return era<<eraShift | counter&counterMask }

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// CounterOf returns a revision as the source counts it, within its era.
func CounterOf(revision uint64) uint64 { return revision & counterMask }

// reading is the revision at which a source was last read; 0: it has not been.
type readRevision uint64

// next takes in that the source was read again, beside content that is in force (0: none is), and tells
// whether the source has come back from a copy of itself since: what it lacks, and of what it has an
// earlier state, was lost and not taken back.
func (r *readRevision) advance(revision, applied uint64) (restored bool) {
	last := cmp.Or(uint64(*r), applied)
	*r = readRevision(revision)
	return last != 0 && EraOf(last) < EraOf(revision)
}

package feed

import "cmp"

// A source that is restored from a backup issues revisions again that it has already issued for
// other content. Each restore therefore starts a new era, with a higher number, and revisions are
// compared by era first: content of a later era is newer whatever its revision, and a response from
// before the restore never replaces one from after it.
//
// Era and counter share one number, because routers of all builds exchange and compare plain
// numbers. The era is in the upper bits, which are zero for a source that was never restored.
const (
	eraShift    = 48
	counterMask = 1<<eraShift - 1
)

// NewRevision returns the revision for a counter of the source within an era.
func NewRevision(era, counter uint64) uint64 { return era<<eraShift | counter&counterMask }

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// CounterOf returns the source's own counter of a revision, without the era.
func CounterOf(revision uint64) uint64 { return revision & counterMask }

// readRevision is the revision at which a source was last read, or 0 if it has not been read.
type readRevision uint64

// advance records that the source was read at a revision, and reports whether the source was restored
// from a backup since the last read. applied is the revision of the current content, or 0 if there is
// none; it is used if the source has not been read before. After a restore, objects that are missing
// or older in the source were lost, not deleted or reverted on purpose.
func (r *readRevision) advance(revision, applied uint64) (restored bool) {
	last := cmp.Or(uint64(*r), applied)
	*r = readRevision(revision)
	return last != 0 && EraOf(last) < EraOf(revision)
}

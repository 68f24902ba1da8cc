package feed

import "github.com/cockroachdb/errors"

// ErrHistoryGone reports that a Source no longer has the changes since a revision.
// The caller must read everything again.
var ErrHistoryGone = errors.New("changes since this revision are no longer available")

// Source provides the content of all feeds. Calls fail with ErrHistoryGone, or with an
// error that describes what is missing.
type Source interface {
	ConfigSource
	ServerSource
	EvacuationSource
	QuarantineSource
	OrderSource
	RecordSource
}

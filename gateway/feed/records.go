package feed

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// maxRecordsWait is the longest that one call waits for a change of the records. A change ends
// the wait at once, few routers write records, and each call costs the source the same, even if
// nothing has changed.
const maxRecordsWait = 10 * time.Second

// RecordSource provides the records of the versions in use.
type RecordSource interface {
	// ReadRecords returns all records.
	ReadRecords(ctx context.Context) ([]rollout.Record, uint64, error)
	// WatchRecords waits for changes after a revision.
	WatchRecords(ctx context.Context, since uint64, wait time.Duration) ([]Change[rollout.Record], uint64, error)
}

// Records is the feed of the records that state which versions of each service are in use.
// Without it, a router would treat versions that nobody ordered as in use. In logs, metrics and
// pulls the feed is called "versions".
type Records struct{ *objectFeed[rollout.Record] }

func newRecords(o Options, onChange func()) *Records {
	spec := Spec{Name: "versions", SourceName: "source of versions", Enabled: true, PeersFirst: true, MaxWait: maxRecordsWait}
	return &Records{newObjectFeed(o, spec, objectSource[rollout.Record]{
		read: o.Source.ReadRecords, watch: o.Source.WatchRecords, countKey: "services",
		name: func(record rollout.Record) string { return record.Service },
	}, o.Rollouts.SetRecords, onChange)}
}

package feed

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// maxRecordsWait is the most that one call waits for a change of the records. A change ends
// the wait at once, few routers write them, and each call costs the source the same.
const maxRecordsWait = 10 * time.Second

// RecordSource is where the records of services' versions are found.
type RecordSource interface {
	// ReadRecords returns all records.
	ReadRecords(ctx context.Context) ([]rollout.Record, uint64, error)
	// WatchRecords waits for changes after a revision.
	WatchRecords(ctx context.Context, since uint64, wait time.Duration) ([]Change[rollout.Record], uint64, error)
}

// Records is the feed of the records of which versions of each service are in use: without
// knowing them, a router would take versions that nobody has ordered for those in use. Its name, in logs, metrics
// and pulls, is what records tell of: versions.
type Records struct{ *objectFeed[rollout.Record] }

func newRecords(o Options, onChange func()) *Records {
	spec := Spec{Name: "versions", SourceName: "source of versions", Enabled: true, PeersFirst: true, MaxWait: maxRecordsWait}
	return &Records{newObjectFeed(o, spec, objectSource[rollout.Record]{
		read: o.Source.ReadRecords, watch: o.Source.WatchRecords, plural: "services",
		name: func(record rollout.Record) string { return record.Service },
	}, o.Rollouts.SetRecords, onChange)}
}

package feed

import (
	"context"
	"slices"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/quarantine"
)

// quarantineWait is the most that one call waits for a change of the quarantine. Routers tell one
// another what is barred; the source only tells those that all start anew, and operators'
// releases, which a waiting call brings at once. Each call costs the source the same.
const quarantineWait = 30 * time.Second

// QuarantineSource is where the contents are found that are barred.
type QuarantineSource interface {
	// ReadQuarantine returns the contents of which requests are refused.
	ReadQuarantine(ctx context.Context) ([]quarantine.Fingerprint, uint64, error)
	// WatchQuarantine waits for changes after a revision; a content that is no longer barred is
	// gone.
	WatchQuarantine(ctx context.Context, since uint64, wait time.Duration) ([]Change[quarantine.Fingerprint], uint64, error)
}

// Quarantine is the feed of the contents that are barred: without knowing them, routers that have
// lost what they knew would have servers crash anew.
type Quarantine struct {
	*byName[quarantine.Fingerprint]
}

func newQuarantine(o Options, changed func()) *Quarantine {
	about := About{Name: "quarantine", SourceName: "source of quarantine", On: true, Brought: true, Optional: true, Wait: quarantineWait}
	take := func(l Listing[quarantine.Fingerprint]) {
		o.Decisions.Update(direct.QuarantineMsg{Now: o.Decisions.Now(), Fingerprints: l.All})
	}
	return &Quarantine{newByName(o, about, sourceOf[quarantine.Fingerprint]{
		read: func(ctx context.Context) ([]quarantine.Fingerprint, uint64, error) {
			return o.Source.ReadQuarantine(ctx)
		},
		watch: func(ctx context.Context, since uint64, wait time.Duration) ([]Change[quarantine.Fingerprint], uint64, error) {
			return o.Source.WatchQuarantine(ctx, since, wait)
		},
		name: quarantine.Fingerprint.String, plural: "contents", same: slices.Equal[[]quarantine.Fingerprint],
	}, take, changed)}
}

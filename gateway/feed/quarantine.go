package feed

import (
	"context"
	"slices"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/quarantine"
)

// maxQuarantineWait is the longest that one call waits for a change of the quarantine. Routers report
// barred requests to one another. The source is needed only after a restart of all routers, and for
// releases by operators, which end a waiting call at once. Each call costs the source the same, even
// if nothing has changed.
const maxQuarantineWait = 30 * time.Second

// QuarantineSource provides the fingerprints of barred requests.
type QuarantineSource interface {
	// ReadQuarantine returns the fingerprints of a kind whose requests are refused.
	ReadQuarantine(ctx context.Context, kind quarantine.Kind) ([]quarantine.Fingerprint, uint64, error)
	// WatchQuarantine waits for changes after a revision; a fingerprint that is no longer
	// barred is reported as deleted.
	WatchQuarantine(ctx context.Context, kind quarantine.Kind, since uint64, wait time.Duration) ([]Change[quarantine.Fingerprint], uint64, error)
}

// Quarantine is the feed of the fingerprints of one kind whose requests are barred. Without it,
// routers that lost their state would let these requests crash servers again.
type Quarantine struct {
	*objectFeed[quarantine.Fingerprint]
}

// quarantineFeeds has the name of the feed and its log key of the number of fingerprints, by kind.
var quarantineFeeds = map[quarantine.Kind]struct{ name, countKey string }{
	quarantine.Content: {"quarantine", "contents"},
	quarantine.Part:    {"quarantine_parts", "parts"},
}

func newQuarantine(o Options, kind quarantine.Kind, onChange func()) *Quarantine {
	spec := Spec{Name: quarantineFeeds[kind].name, SourceName: "source of quarantine", Enabled: true, PeersFirst: true, Optional: true, MaxWait: maxQuarantineWait}
	apply := func(l Listing[quarantine.Fingerprint]) {
		o.StateMachine.Update(direct.QuarantineMsg{Now: o.StateMachine.Now(), Kind: kind, Fingerprints: l.All})
	}
	return &Quarantine{newObjectFeed(o, spec, objectSource[quarantine.Fingerprint]{
		read: func(ctx context.Context) ([]quarantine.Fingerprint, uint64, error) {
			return o.Source.ReadQuarantine(ctx, kind)
		},
		watch: func(ctx context.Context, since uint64, wait time.Duration) ([]Change[quarantine.Fingerprint], uint64, error) {
			return o.Source.WatchQuarantine(ctx, kind, since, wait)
		},
		name: quarantine.Fingerprint.String, countKey: quarantineFeeds[kind].countKey, equal: slices.Equal[[]quarantine.Fingerprint],
		skipEmpty: kind == quarantine.Part, writtenAgain: true,
	}, apply, onChange)}
}

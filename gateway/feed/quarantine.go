package feed

import (
	"context"
	"slices"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/quarantine"
)

// maxQuarantineWait is the most that one call waits for a change of the quarantine. Routers tell one
// another what is barred; the source only tells those that all start anew, and operators'
// releases, which a waiting call brings at once. Each call costs the source the same.
const maxQuarantineWait = 30 * time.Second

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
	*objectFeed[quarantine.Fingerprint]
}

func newQuarantine(o Options, onChange func()) *Quarantine {
	spec := Spec{Name: "quarantine", SourceName: "source of quarantine", Enabled: true, PeersFirst: true, Optional: true, MaxWait: maxQuarantineWait}
	apply := func(l Listing[quarantine.Fingerprint]) {
		o.StateMachine.Update(direct.QuarantineMsg{Now: o.StateMachine.Now(), Fingerprints: l.All})
	}
	return &Quarantine{newObjectFeed(o, spec, objectSource[quarantine.Fingerprint]{
		read: func(ctx context.Context) ([]quarantine.Fingerprint, uint64, error) {
			return o.Source.ReadQuarantine(ctx)
		},
		watch: func(ctx context.Context, since uint64, wait time.Duration) ([]Change[quarantine.Fingerprint], uint64, error) {
			return o.Source.WatchQuarantine(ctx, since, wait)
		},
		name: quarantine.Fingerprint.String, plural: "contents", equal: slices.Equal[[]quarantine.Fingerprint],
	}, apply, onChange)}
}

package feed

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/gateway/traffic"
)

// Feed is one kind of content. Content has most of its methods.
type Feed interface {
	// Spec returns what is particular to the feed beside its content.
	Spec() Spec
	// HasContent tells whether any content has come.
	HasContent() bool
	// Revision tells how new the content is; 0 where there is none.
	Revision() uint64
	// Await waits until the first content has come, for some time at most, and tells
	// whether it has.
	Await(ctx context.Context, most time.Duration) bool
	// Read reads everything from the source, offers it, and returns the source's revision.
	Read(ctx context.Context) (uint64, error)
	// Watch waits for changes after a revision, offers what they lead to, and returns the
	// source's revision. It follows a call of Read or Watch that returned since.
	Watch(ctx context.Context, since uint64, wait time.Duration) (uint64, error)
	// ContentSince returns what a router that knows a revision is told. There must be content.
	ContentSince(since uint64) any
	// ApplyPulled takes in the encoding of what another router told.
	ApplyPulled(body []byte, from string) error
}

// Spec is what is particular to a feed beside its content.
type Spec struct {
	// Name names the feed in its pull path and its kind of traffic.
	Name string
	// SourceName names its source in logs and metrics.
	SourceName string
	// Enabled says that the feed is followed, and that a router serves nobody before it knows
	// any content. What others know of a feed that is not on is pulled all the same.
	Enabled bool
	// MaxWait is the most that one call waits for a change; 0: defaultWatchWait.
	MaxWait time.Duration
	// PeersFirst says that a router which starts waits a moment for others to bring the
	// content, before it reads it from the source.
	PeersFirst bool
	// Optional says that a router serves callers before it knows any content. Where others bring the
	// content, it waits for optionalStartupWait before it reads it itself.
	Optional bool
	// Blocking says that a pull is answered when the first content has come, for some time
	// at most: routers that start together wait for the first to have read it.
	Blocking bool
	// Incremental says that another router is told what has changed since the revision that it
	// knows, not everything.
	Incremental bool
	// Large says that the content has many bytes: one router of each hall brings it over
	// from other halls, and the others pull it there.
	Large bool
}

// path is where other routers pull the feed.
func (a Spec) path() string { return "/v1/" + a.Name }

// trafficKind is the feed's kind of traffic.
func (a Spec) trafficKind() traffic.Kind { return traffic.Kind(a.Name) }

package feed

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/gateway/traffic"
)

// Feed is one kind of content that routers share. Content implements most of its methods.
type Feed interface {
	// Spec returns the settings of the feed.
	Spec() Spec
	// HasContent reports whether there is any content.
	HasContent() bool
	// Revision returns the revision of the newest content, or 0 if there is none.
	Revision() uint64
	// Await waits for the first content, at most for timeout, and reports whether there
	// is any content.
	Await(ctx context.Context, timeout time.Duration) bool
	// Read reads everything from the source, offers it, and returns the source's revision.
	Read(ctx context.Context) (uint64, error)
	// Watch waits for changes after the revision since, offers the resulting content, and
	// returns the source's revision. since must be the revision that the previous call of
	// Read or Watch returned.
	Watch(ctx context.Context, since uint64, wait time.Duration) (uint64, error)
	// ContentSince returns the content to send to a router that has the revision since.
	// HasContent must be true.
	ContentSince(since uint64) any
	// ApplyPulled decodes and applies content that was pulled from another router.
	ApplyPulled(body []byte, from string) error
}

// Spec holds the settings of a feed.
type Spec struct {
	// Name is the feed's name in its pull path and its kind of traffic.
	Name string
	// SourceName is the name of its source in logs and metrics.
	SourceName string
	// Enabled is set if the feed is followed. Unless the feed is Optional, a router serves no
	// requests before it has content. The content of a feed that is not enabled is still
	// pulled from other routers that have it.
	Enabled bool
	// MaxWait is the longest that one call waits for a change; 0 means defaultWatchWait.
	MaxWait time.Duration
	// PeersFirst is set if a starting router waits briefly to get the content from other
	// routers before it reads it from the source.
	PeersFirst bool
	// Optional is set if a router serves requests before it has any content. With PeersFirst,
	// its wait for other routers is optionalStartupWait instead of Role.StartupWait, unless
	// that is 0.
	Optional bool
	// Blocking is set if a pull waits a limited time for the first content. Routers that
	// start together thus wait for the first of them to read the source.
	Blocking bool
	// Incremental is set if a pull returns only the changes since the caller's revision, not
	// the whole content.
	Incremental bool
	// Large is set if the content is large. One router of each hall then pulls it from other
	// halls, and the rest of the hall pulls it from that router.
	Large bool
}

// path returns the URL path at which other routers pull the feed.
func (s Spec) path() string { return "/v1/" + s.Name }

// trafficKind returns the kind of traffic that the feed's pulls count as.
func (s Spec) trafficKind() traffic.Kind { return traffic.Kind(s.Name) }

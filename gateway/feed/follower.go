package feed

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/internal/wait"
)

const (
	defaultWatchWait = time.Second
	// roleCheckInterval is how often a router that does not follow the source looks
	// whether it should.
	roleCheckInterval  = 100 * time.Millisecond
	watchTimeoutMargin = 700 * time.Millisecond // over defaultWatchWait, then the call is given up
	readTimeout        = 1500 * time.Millisecond
	// optionalStartupWait is time for a router that has just started to hear the others and to
	// pull what they know.
	optionalStartupWait = 2 * time.Second
	// peerReadWait is how long a router that has heard of others, and has no content yet, leaves
	// it to them to read the source: those that follow it have read it by then, and tell what they
	// know. Without it each router of a fleet that starts together reads what the first few don't
	// bring in time.
	peerReadWait = 2 * time.Second
	// Routers that stand by for the first of those that follow ask less often: a change still
	// ends their calls at once. Only a call that goes unanswered, or changes that come all the
	// time, keep them behind, for some seconds and half a second.
	standbyWaitFactor = 4
	standbyPause      = 500 * time.Millisecond
	minRetryInterval  = 100 * time.Millisecond
	maxRetryInterval  = time.Second
)

// follower keeps one feed up to date from the source.
type follower struct {
	feed       Feed
	spec       Spec
	log        *eventlog.Log
	stats      *stats.Stats
	sourceLost bool
	failing    atomic.Bool // the last call to the source failed
}

// run reads, then watches, until ctx ends. Every failure leads back to reading. A
// router that does not follow the source reads at most once, and again after a
// failure; when it comes to follow, it goes on from what it read.
func (f *follower) run(ctx context.Context, r Role) error {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = minRetryInterval
	retryBackoff.MaxInterval = maxRetryInterval
	since, hasRevision := uint64(0), false
	if f.awaitPeers(ctx, r) {
		f.waitUntilFollowing(ctx, r)
	}
	for ctx.Err() == nil {
		if hasRevision && !f.shouldFollow(r) {
			f.waitUntilFollowing(ctx, r)
			continue
		}
		revision, err := f.readOrWatch(ctx, since, hasRevision, r)
		f.logSourceState(err)
		if err == nil {
			if hasRevision && revision != since && !r.IsPrimary() {
				wait.Sleep(ctx, standbyPause)
			}
			since, hasRevision = revision, true
			retryBackoff.Reset()
			continue
		}
		hasRevision = false
		if errors.Is(err, ErrHistoryGone) {
			continue
		}
		wait.Sleep(ctx, retryBackoff.NextBackOff())
	}
	return nil
}

// brought waits a moment, as the router starts, for others to bring what it would read
// from the source, and tells whether they have.
func (f *follower) awaitPeers(ctx context.Context, r Role) bool {
	if !f.spec.PeersFirst {
		return false
	}
	startupWait := r.StartupWait()
	if f.spec.Optional && startupWait > 0 {
		startupWait = optionalStartupWait
	}
	if startupWait == 0 {
		return false
	}
	return f.feed.Await(ctx, startupWait) || r.HasLivePeers() && f.feed.Await(ctx, peerReadWait)
}

// follows tells whether this router follows the source: one whose last call failed goes on
// until one succeeds.
func (f *follower) shouldFollow(r Role) bool { return f.failing.Load() || r.Follows() }

// rest waits until this router follows the source, or ctx ends.
func (f *follower) waitUntilFollowing(ctx context.Context, r Role) {
	for ctx.Err() == nil && !f.shouldFollow(r) {
		wait.Sleep(ctx, roleCheckInterval)
	}
}

// call watches the source where its revision is known, and else reads everything.
func (f *follower) readOrWatch(ctx context.Context, since uint64, hasRevision bool, r Role) (uint64, error) {
	if !hasRevision {
		return f.callWithTimeout(ctx, readTimeout, f.feed.Read)
	}
	maxWait := cmp.Or(f.spec.MaxWait, defaultWatchWait)
	if !r.IsPrimary() {
		maxWait *= standbyWaitFactor
	}
	return f.callWithTimeout(ctx, maxWait+watchTimeoutMargin, func(c context.Context) (uint64, error) { return f.feed.Watch(c, since, maxWait) })
}

func (f *follower) callWithTimeout(ctx context.Context, timeout time.Duration, call func(context.Context) (uint64, error)) (uint64, error) {
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	revision, err := call(c)
	f.stats.SourceCall(f.spec.SourceName, time.Since(start), err)
	return revision, err
}

// note logs a lost or regained source.
func (f *follower) logSourceState(err error) {
	f.failing.Store(err != nil && !errors.Is(err, ErrHistoryGone))
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		if !f.sourceLost {
			f.log.Dependency(f.spec.SourceName, "lost", err)
		}
		f.sourceLost = true
		return
	}
	if f.sourceLost {
		f.log.Dependency(f.spec.SourceName, "regained", nil)
	}
	f.sourceLost = false
}

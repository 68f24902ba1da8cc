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
	// roleCheckInterval is how often a router that does not follow the source checks
	// whether it should.
	roleCheckInterval  = 100 * time.Millisecond
	watchTimeoutMargin = 700 * time.Millisecond // added to a call's wait to get its timeout
	readTimeout        = 1500 * time.Millisecond
	// optionalStartupWait gives a starting router time to receive heartbeats of the others and
	// to pull their content.
	optionalStartupWait = 2 * time.Second
	// peerReadWait is how much longer a starting router without content waits if it has live
	// peers. By then the routers that follow the source have read it and announce their
	// revisions. Without this wait, all routers of a fleet that starts at once would read the
	// source if the first few of them are slow to read it.
	peerReadWait = 2 * time.Second
	// Standby followers call the source less often than the primary: their calls wait
	// standbyWaitFactor times as long, and they pause for standbyPause after each change. A
	// change still ends a call at once. A standby lags by some seconds if a call gets no
	// response, and by half a second if changes are constant.
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
	sourceLost bool        // the loss of the source was logged
	failing    atomic.Bool // the last call to the source failed
}

// run reads the source, then watches it, until ctx ends. After a failure it reads again. A
// router that does not follow the source reads at most once, and again after a failure. When it
// starts to follow the source, it watches from the revision that it read.
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
		f.recordResult(err)
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

// awaitPeers waits briefly at startup for content from other routers, and reports whether it
// arrived. If so, the router does not read the source before it follows it.
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

// shouldFollow reports whether this router follows the source. A router whose last call failed
// continues until a call succeeds.
func (f *follower) shouldFollow(r Role) bool { return f.failing.Load() || r.Follows() }

// waitUntilFollowing waits until this router should follow the source, or ctx ends.
func (f *follower) waitUntilFollowing(ctx context.Context, r Role) {
	for ctx.Err() == nil && !f.shouldFollow(r) {
		wait.Sleep(ctx, roleCheckInterval)
	}
}

// readOrWatch watches the source for changes after since if hasRevision is set, and otherwise
// reads everything.
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

// callWithTimeout calls the source with a timeout and records the duration and the result.
func (f *follower) callWithTimeout(ctx context.Context, timeout time.Duration, call func(context.Context) (uint64, error)) (uint64, error) {
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	revision, err := call(c)
	f.stats.RecordSourceCall(f.spec.SourceName, time.Since(start), err)
	return revision, err
}

// recordResult records the result of a call and logs when the source is lost or regained.
func (f *follower) recordResult(err error) {
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

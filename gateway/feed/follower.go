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
	watchWait = time.Second
	// roleEvery is how often a router that does not follow the source looks
	// whether it should.
	roleEvery   = 100 * time.Millisecond
	watchSlack  = 700 * time.Millisecond // over watchWait, then the call is given up
	readTimeout = 1500 * time.Millisecond
	// optionalPatience is time for a router that has just started to hear the others and to
	// pull what they know.
	optionalPatience = 2 * time.Second
	// othersPatience is how long a router that has heard of others, and has no content yet, leaves
	// it to them to read the source: those that follow it have read it by then, and tell what they
	// know. Without it each router of a fleet that starts together reads what the first few don't
	// bring in time.
	othersPatience = 2 * time.Second
	// Routers that stand by for the first of those that follow ask less often: a change still
	// ends their calls at once. Only a call that goes unanswered, or changes that come all the
	// time, keep them behind, for some seconds and half a second.
	standbyWaits = 4
	standbyPause = 500 * time.Millisecond
	retryFirst   = 100 * time.Millisecond
	retryMost    = time.Second
)

// follower keeps one feed up to date from the source.
type follower struct {
	feed  Feed
	about About
	log   *eventlog.Log
	stats *stats.Stats
	lost  bool
	fails atomic.Bool // the last call to the source failed
}

// run reads, then watches, until ctx ends. Every failure leads back to reading. A
// router that does not follow the source reads at most once, and again after a
// failure; when it comes to follow, it goes on from what it read.
func (f *follower) run(ctx context.Context, r Role) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = retryFirst
	pause.MaxInterval = retryMost
	since, known := uint64(0), false
	if f.brought(ctx, r) {
		f.rest(ctx, r)
	}
	for ctx.Err() == nil {
		if known && !f.follows(r) {
			f.rest(ctx, r)
			continue
		}
		at, err := f.call(ctx, since, known, r)
		f.note(err)
		if err == nil {
			if known && at != since && !r.First() {
				wait.Sleep(ctx, standbyPause)
			}
			since, known = at, true
			pause.Reset()
			continue
		}
		known = false
		if errors.Is(err, ErrHistoryGone) {
			continue
		}
		wait.Sleep(ctx, pause.NextBackOff())
	}
	return nil
}

// brought waits a moment, as the router starts, for others to bring what it would read
// from the source, and tells whether they have.
func (f *follower) brought(ctx context.Context, r Role) bool {
	if !f.about.Brought {
		return false
	}
	patience := r.Patience()
	if f.about.Optional && patience > 0 {
		patience = optionalPatience
	}
	if patience == 0 {
		return false
	}
	return f.feed.Await(ctx, patience) || r.HeardAny() && f.feed.Await(ctx, othersPatience)
}

// follows tells whether this router follows the source: one whose last call failed goes on
// until one succeeds.
func (f *follower) follows(r Role) bool { return f.fails.Load() || r.Follows() }

// rest waits until this router follows the source, or ctx ends.
func (f *follower) rest(ctx context.Context, r Role) {
	for ctx.Err() == nil && !f.follows(r) {
		wait.Sleep(ctx, roleEvery)
	}
}

// call watches the source where its revision is known, and else reads everything.
func (f *follower) call(ctx context.Context, since uint64, known bool, r Role) (uint64, error) {
	if !known {
		return f.bounded(ctx, readTimeout, f.feed.Read)
	}
	most := cmp.Or(f.about.Wait, watchWait)
	if !r.First() {
		most *= standbyWaits
	}
	return f.bounded(ctx, most+watchSlack, func(c context.Context) (uint64, error) { return f.feed.Watch(c, since, most) })
}

func (f *follower) bounded(ctx context.Context, limit time.Duration, call func(context.Context) (uint64, error)) (uint64, error) {
	c, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	at, err := call(c)
	f.stats.RecordSourceCall(f.about.SourceName, time.Since(began), err)
	return at, err
}

// note logs a lost or regained source.
func (f *follower) note(err error) {
	f.fails.Store(err != nil && !errors.Is(err, ErrHistoryGone))
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		if !f.lost {
			f.log.Dependency(f.about.SourceName, "lost", err)
		}
		f.lost = true
		return
	}
	if f.lost {
		f.log.Dependency(f.about.SourceName, "regained", nil)
	}
	f.lost = false
}

package gateway

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/direct"
)

const (
	// overlapCheckInterval is the time between two checks of a backup that has been sent and whose
	// response has not begun. It takes over or is given up at the third: two servers must not work on a
	// request at once for longer than 400 ms.
	overlapCheckInterval = 100 * time.Millisecond
	// commonSilenceInterval is the time between two checks whether other servers are silent as well, and
	// maxCommonSilence the longest time for which a backup is put off for that.
	commonSilenceInterval = 50 * time.Millisecond
	maxCommonSilence      = time.Second
)

// beginOverlap is the first check of a backup whose response has not begun.
func (w *silenceWatch) beginOverlap(b *backup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isRunning(b) {
		return
	}
	b.witnesses = w.primary.x.front.core.witnesses(b.id)
	b.checkedAt = w.now()
	time.AfterFunc(overlapCheckInterval, func() { w.checkOverlap(b) })
}

// checkOverlap is the second check. What a silence that has just ended held back arrives before the third.
func (w *silenceWatch) checkOverlap(b *backup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isRunning(b) {
		return
	}
	b.heard = len(b.witnesses) == 0 || w.anyProgress(b.witnesses, b.checkedAt)
	time.AfterFunc(overlapCheckInterval, func() { w.endOverlap(b) })
}

// endOverlap decides which of two servers keeps the request if neither has responded. If other responses
// have arrived, only the first server is silent, and the backup takes over: its server has not declined the
// request. If none has, the backup's server is silent too, and the backup is given up. So it is if its server
// has sent bytes that are no whole part of a response, or has declined.
func (w *silenceWatch) endOverlap(b *backup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.isRunning(b):
	case w.hasUnread(): // the first server may be responding, or has ended
		time.AfterFunc(overlapCheckInterval, func() { w.endOverlap(b) })
	case b.heard && !b.attempt.declined.Load() && !b.attempt.conn.HasUnfinished():
		w.takeOver(direct.Hung)
	default:
		b.cancel()
	}
}

// isRunning reports whether a backup runs and has not taken over. w.mu is held.
func (w *silenceWatch) isRunning(b *backup) bool { return w.armed && w.backup == b && !w.tookOver }

// isCommonSilence reports whether no other server that should send responses has sent anything since this
// one was last heard. A backup would only add to what they have to do. w.mu is held.
func (w *silenceWatch) isCommonSilence() bool {
	if w.now()-w.armedAt > w.timeout+maxCommonSilence {
		return false
	}
	witnesses := w.primary.x.front.core.witnesses(w.primary.id)
	return len(witnesses) > 0 && !w.anyProgress(witnesses, w.armedAt)
}

// anyProgress reports whether any of the servers has made progress with a response after a point in time.
func (w *silenceWatch) anyProgress(addresses []string, since time.Duration) bool {
	return slices.ContainsFunc(addresses, func(address string) bool {
		return w.primary.x.front.pool.ProgressSince(address, since)
	})
}

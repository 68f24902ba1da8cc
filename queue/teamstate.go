package queue

import "time"

const (
	// drainWindow is the time over which a team's drain rate is averaged.
	drainWindow = 5 * time.Second
	// minDrained is the number of claims in the window below which the rate
	// says nothing yet.
	minDrained = 5
	// noServerRetry is when to come back if no server can take the work.
	noServerRetry = time.Second
	// maxRetryAfter bounds what callers are told.
	maxRetryAfter = 30 * time.Second
)

// teamState is what a router knows of one team: how much waits, and how fast
// agents take it away.
type teamState struct {
	waiting int
	window  time.Duration // start of the present window
	drain   int           // claims in the present window
	last    int           // claims in the window before
	seen    bool          // a whole window has passed
}

// drained counts one claim.
func (t *teamState) drained(now time.Duration) {
	t.decay(now)
	t.drain++
}

// decay starts a new window when the present one is over.
func (t *teamState) decay(now time.Duration) {
	if now-t.window < drainWindow {
		return
	}
	t.last = t.drain
	if now-t.window >= 2*drainWindow {
		t.last = 0
	}
	t.drain = 0
	t.window = now
	t.seen = true
}

// expectedWait returns how long a new request of the team will wait, or 0
// where too little is known to say.
func (t *teamState) expectedWait() time.Duration {
	if !t.seen || t.last < minDrained {
		return 0
	}
	perClaim := drainWindow / time.Duration(t.last)
	return min(time.Duration(t.waiting)*perClaim, maxRetryAfter)
}

// jitter spreads the times at which refused callers come back: from the wait
// itself to half as much again, by the request's number.
func jitter(id RequestID, wait time.Duration) time.Duration {
	wait = max(wait, noServerRetry)
	const steps = 16
	spread := uint64(id) * 0x9e3779b97f4a7c15 >> 60
	return wait + wait*time.Duration(spread)/(2*steps)
}

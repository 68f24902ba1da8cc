package queue

import "time"

const (
	// drainWindow is the time over which a team's drain rate is averaged.
	drainWindow = 5 * time.Second
	// minWindowClaims is the number of claims in the window below which the rate
	// says nothing yet.
	minWindowClaims = 5
	// noServerRetryAfter is when to come back if no server can take the work.
	noServerRetryAfter = time.Second
	// maxRetryAfter bounds what callers are told.
	maxRetryAfter = 30 * time.Second
)

// teamState is what a router knows of one team: how much waits, and how fast
// agents take it away.
type teamState struct {
	waiting        int
	windowStart    time.Duration // start of the present window
	claims         int           // claims in the present window
	previousClaims int           // claims in the window before
	hasFullWindow  bool          // a whole window has passed
}

// recordClaim counts one claim.
func (t *teamState) recordClaim(now time.Duration) {
	t.rotateWindow(now)
	t.claims++
}

// rotateWindow starts a new window when the present one is over.
func (t *teamState) rotateWindow(now time.Duration) {
	if now-t.windowStart < drainWindow {
		return
	}
	t.previousClaims = t.claims
	if now-t.windowStart >= 2*drainWindow {
		t.previousClaims = 0
	}
	t.claims = 0
	t.windowStart = now
	t.hasFullWindow = true
}

// expectedWait returns how long a new request of the team will wait, or 0
// where too little is known to say.
func (t *teamState) expectedWait() time.Duration {
	if !t.hasFullWindow || t.previousClaims < minWindowClaims {
		return 0
	}
	perClaim := drainWindow / time.Duration(t.previousClaims)
	return min(time.Duration(t.waiting)*perClaim, maxRetryAfter)
}

// jitter spreads the times at which refused callers come back: from the wait
// itself to half as much again, by the request's number.
func jitter(id RequestID, wait time.Duration) time.Duration {
	wait = max(wait, noServerRetryAfter)
	const steps = 16
	spread := uint64(id) * 0x9e3779b97f4a7c15 >> 60
	return wait + wait*time.Duration(spread)/(2*steps)
}

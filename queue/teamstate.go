package queue

import "time"

const (
	// drainWindow is the period over which a team's drain rate is averaged.
	drainWindow = 5 * time.Second
	// minWindowClaims is the minimum number of claims in a window for the drain
	// rate to be used.
	minWindowClaims = 5
	// noServerRetryAfter is the Retry-After time if no server can take the work,
	// and the minimum for every other refusal.
	noServerRetryAfter = time.Second
	// maxRetryAfter limits the expected wait, from which Retry-After is computed.
	maxRetryAfter = 30 * time.Second
)

// teamState holds a router's state for one team: the number of waiting requests
// and the rate at which agents claim them.
type teamState struct {
	waiting        int
	windowStart    time.Duration // start of the current window
	claims         int           // claims in the current window
	previousClaims int           // claims in the previous window
	hasFullWindow  bool          // at least one full window has passed
}

// recordClaim counts one claim.
func (t *teamState) recordClaim(now time.Duration) {
	t.rotateWindow(now)
	t.claims++
}

// rotateWindow starts a new window if the current one has ended.
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

// expectedWait returns the expected wait of a new request of the team, or 0 if
// there is too little data.
func (t *teamState) expectedWait() time.Duration {
	if !t.hasFullWindow || t.previousClaims < minWindowClaims {
		return 0
	}
	perClaim := drainWindow / time.Duration(t.previousClaims)
	return min(time.Duration(t.waiting)*perClaim, maxRetryAfter)
}

// jitter spreads the retry times of refused callers. It raises the wait to
// noServerRetryAfter if it is shorter, and returns between 1 and 1.5 times the
// result, chosen by a hash of the request ID.
func jitter(id RequestID, wait time.Duration) time.Duration {
	wait = max(wait, noServerRetryAfter)
	const steps = 16
	spread := uint64(id) * 0x9e3779b97f4a7c15 >> 60
	return wait + wait*time.Duration(spread)/(2*steps)
}

package rollout

import "time"

const (
	// initialHold is the length of the first hold of a router that finds a version bad:
	// enough for the leader to reject the version, or for other routers' evidence to arrive.
	initialHold = 5 * time.Second
	// holdGrowth is the factor between the lengths of successive holds: a router that is cut off
	// from the leader then retries a bad version only a few times before the deadline.
	holdGrowth = 4
)

// hold is a pause in which this router alone sends nothing to the target, because its own
// verdict is Bad. The leader's rejection, in contrast, is final and applies to all routers.
type hold struct {
	active     bool
	until      time.Duration // when the hold ends
	lastLength time.Duration // length of the last hold
}

// begin starts a hold that lasts holdGrowth times as long as the one before.
func (h *hold) begin(now time.Duration) {
	h.active = true
	h.lastLength = max(initialHold, h.lastLength*holdGrowth)
	h.until = now + h.lastLength
}

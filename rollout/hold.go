package rollout

import "time"

const (
	// firstHold is how long a router that judges a version bad sends nothing to it at first:
	// enough for the leader to reject the version, or for other routers' evidence to come.
	initialHold = 5 * time.Second
	// holdGrowth makes each hold so many times as long as the last: a router that is cut off
	// from the leader then tries a bad version only a few times before the deadline.
	holdGrowth = 4
)

// hold is a pause in which this router alone sends nothing to the target, because it has
// judged it bad. The leader's rejection, in contrast, is final and for all routers.
type hold struct {
	active     bool
	until      time.Duration
	lastLength time.Duration // length of the last one
}

func (h *hold) begin(now time.Duration) {
	h.active = true
	h.lastLength = max(initialHold, h.lastLength*holdGrowth)
	h.until = now + h.lastLength
}

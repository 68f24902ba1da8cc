package rollout

import "time"

const (
	// firstHold is how long a router which judges a version bad sends nothing to it: time
	// for the leader to say the same for good, or for others to tell better.
	firstHold = 5 * time.Second
	// holdGrowth makes each hold longer than the last: a router on its own with a bad
	// version sends to it only a few times in all.
	holdGrowth = 4
)

// hold is a router's own stop.
type hold struct {
	on    bool
	until time.Duration
	last  time.Duration
}

func (h *hold) begin(now time.Duration) {
	h.on = true
	h.last = max(firstHold, h.last*holdGrowth)
	h.until = now + h.last
}

package pressure

import "time"

const (
	// gatherFrom is how late a router runs when it begins to gather events.
	gatherFrom = 3 * time.Millisecond
	// gatherShare is the part of the longest delay of an event that a router
	// may spend on gathering, less what it is late anyway.
	gatherShare = 0.4
)

// BatchDelay returns how long a stream waits before it is read again, so that
// several events cost one read, one write and one wake-up. A router that keeps
// up does not wait. All streams wake at the same moments, so that one timer
// wakes many.
func BatchDelay(now, late, longest time.Duration) time.Duration {
	if late < gatherFrom {
		return 0
	}
	every := time.Duration(gatherShare*float64(longest)) - late
	if every <= 0 {
		return 0
	}
	return every - now%every
}

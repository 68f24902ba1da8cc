package pressure

import "time"

const (
	// batchMinLag is how late a router runs when it begins to gather events.
	batchMinLag = 3 * time.Millisecond
	// batchDelayShare is the part of the longest delay of an event that a router
	// may spend on gathering, less what it is late anyway.
	batchDelayShare = 0.4
)

// BatchDelay returns how long a stream waits before it is read again, so that
// several events cost one read, one write and one wake-up. A router that keeps
// up does not wait. All streams wake at the same moments, so that one timer
// wakes many.
func BatchDelay(now, lag, maxDelay time.Duration) time.Duration {
	if lag < batchMinLag {
		return 0
	}
	interval := time.Duration(batchDelayShare*float64(maxDelay)) - lag
	if interval <= 0 {
		return 0
	}
	return interval - now%interval
}

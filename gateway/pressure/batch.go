package pressure

import "time"

const (
	// batchMinLag is the lag from which a router batches events.
	batchMinLag = 3 * time.Millisecond
	// batchDelayShare is the fraction of the maximum delay of an event that a router may spend on
	// batching, including its lag.
	batchDelayShare = 0.4
)

// BatchDelay returns how long a stream waits before it is read again, so that several events take
// one read, one write and one wake-up. A router that keeps up does not wait. All streams wake at
// the same times, so that one timer wakes many of them.
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

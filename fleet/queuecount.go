package fleet

import "time"

// QueueCount is what one line of waiting requests at one router comes to.
type QueueCount struct {
	Key       DemandKey
	Waiting   int
	OldestAge time.Duration
}

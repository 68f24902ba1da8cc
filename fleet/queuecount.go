package fleet

import "time"

// QueueCount holds the number of requests that wait in one queue of one router,
// and the age of the oldest of them.
type QueueCount struct {
	Key       DemandKey
	Waiting   int
	OldestAge time.Duration
}

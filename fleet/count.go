package fleet

import "time"

// Count is what one line of waiting requests at one router comes to.
type Count struct {
	Key       DemandKey
	Waiting   int
	OldestAge time.Duration
}

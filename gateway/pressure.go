package gateway

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lagSlow is how late the router may do what it planned before it stops
	// judging servers by its own clock.
	lagSlow = 30 * time.Millisecond
	// lagShed is where it begins to refuse requests at the door, lagFull where
	// it refuses them all.
	lagShed = 40 * time.Millisecond
	lagFull = 120 * time.Millisecond
	// lagKept is what remains of the greatest lag after one more tick.
	lagKept = 0.9
	// shedAfter is when callers that were refused at the door come back: soon,
	// since they reach another router.
	shedAfter = 100 * time.Millisecond
)

// pressure measures how late this process runs, by a ticker. A router without
// processor time must neither take more work than it can do nor hold other
// processes for the slow ones. The zero value is a process that keeps up.
type pressure struct {
	lag atomic.Int64
}

// note takes in how late a tick came.
func (p *pressure) note(late time.Duration) {
	kept := time.Duration(lagKept * float64(p.lag.Load()))
	p.lag.Store(int64(max(late, kept, 0)))
}

// slow tells whether what this process measures of others says more of itself.
func (p *pressure) slow() bool { return time.Duration(p.lag.Load()) > lagSlow }

// sheds tells whether a request should be refused at the door. A part of the
// requests, by id, is refused from lagShed on, all from lagFull on.
func (p *pressure) sheds(id string) bool {
	lag := time.Duration(p.lag.Load())
	if lag < lagShed {
		return false
	}
	part := float64(lag-lagShed) / float64(lagFull-lagShed)
	return float64(xxhash.Sum64String(id))/(1<<64) < max(part, 0.1)
}

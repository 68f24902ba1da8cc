// Package hostclock provides a steady clock that also advances while the host is suspended.
//
// Go's monotonic clock stops during a suspension. With that clock, a resumed process would treat
// old messages as recent, and requests that callers have given up as still due. Leases, failure
// detection, deadlines and rates must all include the time of the suspension.
package hostclock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the smallest difference between the host's boot clock and the steady clock
// that counts as a suspension. They are read one after the other, and a late process may pause
// in between.
const minSuspension = 100 * time.Millisecond

// Clock measures the time since its creation. Create one with New.
type Clock struct {
	start     time.Time
	boot      func() (time.Duration, error) // reads a clock that includes suspensions
	suspended atomic.Int64                  // nanoseconds detected so far

	mu            sync.Mutex
	startBootTime time.Duration // value of boot when the clock was created
	noBootTime    bool          // boot has failed
}

// New returns a clock that starts now.
func New() *Clock { return newClock(bootTime) }

func newClock(boot func() (time.Duration, error)) *Clock {
	c := &Clock{start: time.Now(), boot: boot}
	at, err := boot()
	c.startBootTime, c.noBootTime = at, err != nil
	return c
}

// bootTime reads the host's clock that also advances during a suspension.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}

// Now returns the time since the clock was created, including the suspensions that CheckSuspension
// has detected.
func (c *Clock) Now() time.Duration { return time.Since(c.start) + time.Duration(c.suspended.Load()) }

// CheckSuspension returns how long the host was suspended since the last call, or 0. It costs a
// system call: call it every few milliseconds, and before an action that a suspension may have
// made obsolete. On a host without a clock that includes suspensions it always returns 0.
func (c *Clock) CheckSuspension() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noBootTime {
		return 0
	}
	elapsed := time.Since(c.start)
	boot, err := c.boot()
	if err != nil {
		c.noBootTime = true
		return 0
	}
	counted := time.Duration(c.suspended.Load())
	found := boot - c.startBootTime - elapsed - counted
	if found < minSuspension {
		return 0
	}
	c.suspended.Store(int64(counted + found))
	return found
}

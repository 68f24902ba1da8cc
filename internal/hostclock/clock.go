// Package hostclock is a steady clock that goes on while the host is suspended.
//
// Go's monotonic clock stands still then. A process that wakes would take what it heard before
// for news, and what it owes callers for owed still: leases, contact with others, deadlines and
// rates all count the time that others have lived through meanwhile.
package hostclock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is from where a difference between the two clocks is a suspension: they are read
// one after the other, and a late process may pause between.
const minSuspension = 100 * time.Millisecond

// Clock tells the time since it was made. Make one with New.
type Clock struct {
	start     time.Time
	boot      func() (time.Duration, error) // counts suspensions too
	suspended atomic.Int64                  // nanoseconds, found so far

	mu            sync.Mutex
	startBootTime time.Duration // what boot gave when the clock was made
	noBootTime    bool          // boot gives nothing
}

// New returns a clock that begins now.
func New() *Clock { return newClock(bootTime) }

func newClock(boot func() (time.Duration, error)) *Clock {
	c := &Clock{start: time.Now(), boot: boot}
	at, err := boot()
	c.startBootTime, c.noBootTime = at, err != nil
	return c
}

// bootTime reads the clock of the host that goes on while it is suspended.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}

// Now returns the time since the clock was made, with the suspensions that Look has found.
func (c *Clock) Now() time.Duration { return time.Since(c.start) + time.Duration(c.suspended.Load()) }

// CheckSuspension finds out whether the host was suspended since the last call, and for how long. It
// costs a system call, so it is for every few milliseconds, and for before something is done
// that the past may have overtaken. Where the host has no such clock there is never any.
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

package gateway

import "github.com/croftvale/croftvale/direct"

// waiter is what the core knows of the goroutine of a request. The core's lock guards it.
type waiter struct {
	commands chan direct.Cmd
	// abort breaks the running attempt off, so that its stream goes on elsewhere; nil: no
	// attempt that may be broken off is running. It must not block.
	abort       func()
	movePending bool // a move came before there was anything to break off
}

// move breaks off the attempt that runs. One that is just beginning is broken off as soon
// as it can be; one that has just ended is left as it is.
func (w *waiter) move() {
	switch {
	case w == nil:
	case w.abort == nil:
		w.movePending = true
	default:
		w.abort()
	}
}

// setAbort sets what breaks the running attempt of a request off when it is to move.
func (c *core) setAbort(id direct.RequestID, abort func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waiters[id]
	if w == nil {
		return
	}
	w.abort = abort
	if w.movePending {
		w.movePending = false
		abort()
	}
}

// clearAbort undoes setBreakOff: once it returns, breakOff is not called any more.
func (c *core) clearAbort(id direct.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.waiters[id]; w != nil {
		w.abort, w.movePending = nil, false
	}
}

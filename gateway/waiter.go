package gateway

import "github.com/croftvale/croftvale/direct"

// waiter holds what the core needs to reach the goroutine of a request. The core's lock
// guards it.
type waiter struct {
	commands chan direct.Cmd
	// abort aborts the running attempt, so that its stream continues on another server. It
	// must not block. It is nil if no attempt is running or the attempt must not be aborted.
	abort       func()
	movePending bool // a move arrived before an attempt could be aborted
}

// move aborts the running attempt. An attempt that is just starting is aborted as soon as
// possible; one that has just ended is not affected.
func (w *waiter) move() {
	switch {
	case w == nil:
	case w.abort == nil:
		w.movePending = true
	default:
		w.abort()
	}
}

// setAbort sets the function that aborts the running attempt of a request for a move.
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

// clearAbort reverts setAbort. Once it returns, abort is not called any more.
func (c *core) clearAbort(id direct.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.waiters[id]; w != nil {
		w.abort, w.movePending = nil, false
	}
}

package gateway

import "github.com/croftvale/croftvale/direct"

// waiter is what the core knows of the goroutine of a request. The core's lock guards it.
type waiter struct {
	commands chan direct.Cmd
	// breakOff ends the attempt that runs, for its stream to go on elsewhere; nil: none
	// can be ended so. It must not block.
	breakOff func()
	moves    bool // a move came before there was anything to break off
}

// move breaks off the attempt that runs. One that is just beginning is broken off as soon
// as it can be; one that has just ended is left as it is.
func (w *waiter) move() {
	switch {
	case w == nil:
	case w.breakOff == nil:
		w.moves = true
	default:
		w.breakOff()
	}
}

// breakable has an attempt of a request broken off when it is to move.
func (c *core) breakable(id direct.RequestID, breakOff func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waiters[id]
	if w == nil {
		return
	}
	w.breakOff = breakOff
	if w.moves {
		w.moves = false
		breakOff()
	}
}

// unbreakable ends that: once it returns, breakOff is not called any more.
func (c *core) unbreakable(id direct.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.waiters[id]; w != nil {
		w.breakOff, w.moves = nil, false
	}
}

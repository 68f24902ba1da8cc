package sendqueue

import "time"

const (
	// softLimit is how much of an answer waits, in bytes, before its writer does: a caller that reads
	// well is only behind by the pace of its line, and the backend server goes at that pace.
	softLimit = 256 << 10
	// progressTimeout is how long a writer waits for a caller that takes nothing. Backend servers cut an
	// answer that stays unread for some seconds, so the router reads on before; a caller that
	// reads well has taken something by then even where a packet was lost.
	progressTimeout = 500 * time.Millisecond
	// chunkSize is how much is sent at once of what waits: small enough to tell a caller that
	// reads slowly from one that does not read.
	chunkSize = 16 << 10
)

// enqueue appends to the queue what has not been sent; c.mu is held.
func (c *Conn) enqueue(p []byte, sent int) (int, error) {
	rest := p[sent:]
	if !c.queues.Grow(c.account, len(rest), func() { c.Abort(ErrNoMemory) }) {
		c.queues.dropped.Add(1)
		c.fail(ErrNoMemory)
		return sent, c.err
	}
	c.queue = append(c.queue, rest...)
	if !c.sending {
		c.sending = true
		c.lastProgress.Store(int64(c.queues.Now()))
		c.queues.waiting.Add(1)
		c.progress = make(chan struct{}, 1)
		go c.send()
	}
	return len(p), nil
}

// waitForSpace waits for a caller that reads while much waits already, but not for one that has
// stopped; c.mu is held but for the waiting.
func (c *Conn) waitForSpace(n int) {
	end := time.Now().Add(progressTimeout)
	for c.sending && c.err == nil && len(c.queue)+n > softLimit && len(c.queue) > 0 {
		remaining := min(time.Until(end), progressTimeout-c.StalledFor())
		if remaining <= 0 {
			return
		}
		progress := c.progress
		c.mu.Unlock()
		timer := time.NewTimer(remaining)
		select {
		case <-progress:
		case <-timer.C:
		}
		timer.Stop()
		c.mu.Lock()
	}
}

// send sends what waits, until nothing does.
func (c *Conn) send() {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.queues.waiting.Add(-1)
	for len(c.queue) > 0 && c.err == nil {
		chunk := c.queue[:min(len(c.queue), chunkSize)]
		c.mu.Unlock()
		n, err := c.Conn.Write(chunk)
		c.mu.Lock()
		if c.err != nil {
			break
		}
		c.markSent(n)
		if err != nil {
			c.fail(err)
		}
	}
	c.sending = false
	c.lastProgress.Store(0)
	if c.closing {
		c.closeNow()
	}
}

// markSent notes that the caller has taken n bytes of what waits; c.mu is held.
func (c *Conn) markSent(n int) {
	if n == 0 {
		return
	}
	c.queue = c.queue[n:]
	if len(c.queue) == 0 {
		c.queue = nil
	}
	c.lastProgress.Store(int64(c.queues.Now()))
	c.queues.shrink(c.account, n)
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

package sendqueue

import "time"

const (
	// softLimit is the queue length in bytes from which a writer waits. A caller that reads steadily
	// then slows the backend server down to the pace of its own network.
	softLimit = 256 << 10
	// progressTimeout bounds how long a writer waits for a caller that accepts nothing. Backend
	// servers cut off a response that stays unread for some seconds, so the router goes on reading
	// before that. A caller that reads steadily makes progress within this time even if a packet is
	// lost.
	progressTimeout = 500 * time.Millisecond
	// chunkSize is the number of queued bytes sent in one call: small enough to distinguish a caller
	// that reads slowly from one that does not read.
	chunkSize = 16 << 10
)

// enqueue appends the unsent rest of p to the queue. c.mu is held.
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

// waitForSpace waits until n more bytes fit below softLimit, as long as the caller makes progress.
// c.mu is held, except while waiting.
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

// send sends the queue until it is empty or the connection fails.
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

// markSent removes n bytes that the caller has accepted from the queue. c.mu is held.
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

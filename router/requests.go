package router

import (
	"fmt"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/queue"
)

// onRequest queues a request, after its idempotency key is reserved if it has one.
func (c *core) onRequest(e requestEvent) {
	c.requests[e.request.ID] = &openRequest{reply: e.reply}
	if e.idempotency != nil {
		c.acquireKey(e)
		return
	}
	c.updateQueue(queue.RequestMsg{Now: c.now(), Request: e.request})
}

// cancel drops a request whose caller has closed its connection. A waiting request
// has not run, and its goroutine gets an empty decision. For a granted request the
// decision is already in the channel, and the goroutine reports how the run ended.
func (c *core) cancel(id queue.RequestID) {
	r, ok := c.requests[id]
	if !ok {
		return // already refused; that decision is in the channel
	}
	if r.awaitingKey != nil {
		r.awaitingKey = nil
		c.updateKeys(once.NotRunMsg{Now: c.now(), Request: uint64(id)})
	}
	c.updateQueue(queue.CancelMsg{Now: c.now(), ID: id})
	if c.queue.IsUnfinished(id) {
		return
	}
	c.finishKey(id, queue.RanNo)
	c.decide(id, decision{})
	delete(c.requests, id)
}

func (c *core) onRunEnd(e runEndEvent) {
	if r, ok := c.requests[e.id]; ok {
		r.abort = nil
	}
	c.updateQueue(queue.EndMsg{Now: c.now(), ID: e.id, Outcome: e.outcome})
	if e.notRun {
		c.finishKey(e.id, queue.RanNo)
	}
	c.removeIfFinished(e.id)
}

// removeIfFinished drops a request that the queue no longer holds.
func (c *core) removeIfFinished(id queue.RequestID) {
	if !c.queue.IsUnfinished(id) {
		c.finishKey(id, queue.RanYes)
		delete(c.requests, id)
	}
}

// runRequest sends a request's goroutine the decision to call the agent that claimed
// the request.
func (c *core) runRequest(cmd queue.RunCmd) {
	r, ok := c.requests[cmd.ID]
	if !ok {
		return
	}
	r.abort = make(chan struct{})
	c.decide(cmd.ID, decision{run: &grant{
		claim:     cmd.Claim.String(),
		address:   c.servers[cmd.Claim.Agent].Serve.String(),
		remaining: formatRemaining(cmd.Remaining),
		abort:     r.abort,
	}})
}

// formatRemaining encodes the number of requests that remain in a queue, and the
// oldest one's age in milliseconds, for the header of a granted request.
func formatRemaining(remaining fleet.QueueCount) string {
	return fmt.Sprintf("%d/%d", remaining.Waiting, remaining.OldestAge/time.Millisecond)
}

// abort aborts the current run of a request, if any.
func (c *core) abort(id queue.RequestID) {
	r, ok := c.requests[id]
	if !ok || r.abort == nil {
		return
	}
	close(r.abort)
	r.abort = nil
}

// decide sends a decision to a request's goroutine. It never blocks: the channel
// buffers one decision, and no second one is sent before the goroutine has
// reported the end of the first.
func (c *core) decide(id queue.RequestID, d decision) {
	if r, ok := c.requests[id]; ok {
		r.reply <- d
	}
}

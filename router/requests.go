package router

import (
	"fmt"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/queue"
)

func (c *core) onRequest(e requestEvent) {
	c.requests[e.request.ID] = &openRequest{reply: e.reply}
	if e.idempotency != nil {
		c.acquireKey(e)
		return
	}
	c.updateQueue(queue.RequestMsg{Now: c.now(), Request: e.request})
}

// cancel drops a request whose caller has hung up. One that waits has not run,
// and its goroutine is told so; of one that was granted the decision is on its
// way, and the goroutine says how it ended.
func (c *core) cancel(id queue.RequestID) {
	r, ok := c.requests[id]
	if !ok {
		return // it was refused; that decision is on its way
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

// forget drops a request that the machine no longer holds.
func (c *core) removeIfFinished(id queue.RequestID) {
	if !c.queue.IsUnfinished(id) {
		c.finishKey(id, queue.RanYes)
		delete(c.requests, id)
	}
}

// runRequest sends a request's goroutine to the agent that claimed it.
func (c *core) runRequest(cmd queue.RunCmd) {
	r, ok := c.requests[cmd.ID]
	if !ok {
		return
	}
	r.abort = make(chan struct{})
	c.decide(cmd.ID, decision{run: &grant{
		claim:     cmd.Claim.String(),
		serve:     c.servers[cmd.Claim.Agent].Serve.String(),
		remaining: formatRemaining(cmd.Remaining),
		abort:     r.abort,
	}})
}

// leftOf spells what is left of a line for the header of a granted request.
func formatRemaining(remaining fleet.Count) string {
	return fmt.Sprintf("%d/%d", remaining.Waiting, remaining.OldestAge/time.Millisecond)
}

func (c *core) abort(id queue.RequestID) {
	r, ok := c.requests[id]
	if !ok || r.abort == nil {
		return
	}
	close(r.abort)
	r.abort = nil
}

// decide tells a request's goroutine what to do. There is always room: no
// second decision comes before the goroutine has answered the first.
func (c *core) decide(id queue.RequestID, d decision) {
	if r, ok := c.requests[id]; ok {
		r.reply <- d
	}
}

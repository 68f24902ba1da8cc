package router

import (
	"fmt"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/queue"
)

func (c *core) arrive(e arriveEvent) {
	c.open[e.request.ID] = &openRequest{reply: e.reply}
	if e.idempotency != nil {
		c.askKey(e)
		return
	}
	c.feed(queue.RequestMsg{Now: c.now(), Request: e.request})
}

// cancel drops a request whose caller has hung up. One that waits has not run,
// and its goroutine is told so; of one that was granted the decision is on its
// way, and the goroutine says how it ended.
func (c *core) cancel(id queue.RequestID) {
	r, ok := c.open[id]
	if !ok {
		return // it was refused; that decision is on its way
	}
	if r.parked != nil {
		r.parked = nil
		c.feedKeys(once.NotRunMsg{Now: c.now(), Request: uint64(id)})
	}
	c.feed(queue.CancelMsg{Now: c.now(), ID: id})
	if c.queue.IsUnfinished(id) {
		return
	}
	c.freeKey(id, queue.RanNo)
	c.decide(id, decision{})
	delete(c.open, id)
}

func (c *core) ended(e endEvent) {
	if r, ok := c.open[e.id]; ok {
		r.abort = nil
	}
	c.feed(queue.EndMsg{Now: c.now(), ID: e.id, Outcome: e.outcome})
	if e.unrun {
		c.freeKey(e.id, queue.RanNo)
	}
	c.forget(e.id)
}

// forget drops a request that the machine no longer holds.
func (c *core) forget(id queue.RequestID) {
	if !c.queue.IsUnfinished(id) {
		c.freeKey(id, queue.RanYes)
		delete(c.open, id)
	}
}

// runRequest sends a request's goroutine to the agent that claimed it.
func (c *core) runRequest(cmd queue.RunCmd) {
	r, ok := c.open[cmd.ID]
	if !ok {
		return
	}
	r.abort = make(chan struct{})
	c.decide(cmd.ID, decision{run: &grant{
		claim: cmd.Claim.String(),
		serve: c.servers[cmd.Claim.Agent].Serve.String(),
		left:  leftOf(cmd.Remaining),
		abort: r.abort,
	}})
}

// leftOf spells what is left of a line for the header of a granted request.
func leftOf(left fleet.QueueCount) string {
	return fmt.Sprintf("%d/%d", left.Waiting, left.OldestAge/time.Millisecond)
}

func (c *core) abort(id queue.RequestID) {
	r, ok := c.open[id]
	if !ok || r.abort == nil {
		return
	}
	close(r.abort)
	r.abort = nil
}

// decide tells a request's goroutine what to do. There is always room: no
// second decision comes before the goroutine has answered the first.
func (c *core) decide(id queue.RequestID, d decision) {
	if r, ok := c.open[id]; ok {
		r.reply <- d
	}
}

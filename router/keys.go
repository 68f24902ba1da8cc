package router

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/wire"
)

// idempotency holds a request's idempotency key and the time at which the caller
// created the key.
type idempotency struct {
	key       once.Key
	createdAt time.Time // zero if the caller sent none
}

// acquireKey asks the owners of a request's key to reserve it. The request is
// queued only after that.
func (c *core) acquireKey(e requestEvent) {
	c.requests[e.request.ID].awaitingKey = &e.request
	c.updateKeys(once.AcquireMsg{
		Now:       c.now(),
		Holder:    c.keyHolder(e.request.ID),
		Key:       e.idempotency.key,
		CreatedAt: e.idempotency.createdAt,
		Agents:    c.active.Bundle.ServersOf(e.request.Key.Work),
	})
}

func (c *core) keyHolder(id queue.RequestID) once.Holder {
	return once.Holder{Router: c.settings.Name, Incarnation: c.incarnation, Request: uint64(id)}
}

// updateKeys passes a message to the key coordinator and executes the commands
// that it returns.
func (c *core) updateKeys(m once.CoordinatorMsg) {
	for _, cmd := range c.keys.Update(m) {
		c.executeKeyCmd(cmd)
	}
}

func (c *core) executeKeyCmd(cmd once.Command) {
	switch cmd := cmd.(type) {
	case once.ReserveCmd:
		c.send(cmd.Owner, func(conn *link.Conn) wire.Message { return keyReserve(conn, cmd) })
	case once.ReleaseCmd:
		c.send(cmd.Owner, func(conn *link.Conn) wire.Message {
			return wire.KeyRelease{
				Request: cmd.Holder.Request, Work: conn.OutNames.Number(string(cmd.Key.Work)), Digest: cmd.Key.Digest[:],
			}
		})
	case once.DecideCmd:
		c.onKeyDecision(queue.RequestID(cmd.Request), cmd.Decision)
	}
}

func keyReserve(conn *link.Conn, cmd once.ReserveCmd) wire.KeyReserve {
	m := wire.KeyReserve{
		Request: cmd.Holder.Request, Work: conn.OutNames.Number(string(cmd.Key.Work)), Digest: cmd.Key.Digest[:],
	}
	if !cmd.CreatedAt.IsZero() {
		m.Made = cmd.CreatedAt.UnixMilli()
	}
	return m
}

// onKeyDecision queues a request whose key is reserved, and refuses it otherwise.
func (c *core) onKeyDecision(id queue.RequestID, d once.Decision) {
	r, ok := c.requests[id]
	if !ok || r.awaitingKey == nil {
		return
	}
	request := *r.awaitingKey
	r.awaitingKey = nil
	switch d {
	case once.DecisionRun:
		r.holdsKey = true
		c.updateQueue(queue.RequestMsg{Now: c.now(), Request: request})
	case once.DecisionDuplicate:
		c.refuseUnqueued(id, reasonKeyInUse, queue.RanUnknown)
	case once.DecisionUncertain:
		c.refuseUnqueued(id, reasonKeyUncertain, queue.RanNo)
	}
}

// refuseUnqueued refuses a request that has not been queued.
func (c *core) refuseUnqueued(id queue.RequestID, reason queue.Reason, ran queue.Ran) {
	c.decide(id, decision{refuse: &queue.RefuseCmd{ID: id, Reason: reason, Ran: ran, RetryAfter: time.Second}})
	delete(c.requests, id)
}

// finishKey releases the idempotency key of a finished request that has not run.
// If the request has run or may have run, the owners keep the key.
func (c *core) finishKey(id queue.RequestID, ran queue.Ran) {
	if r, ok := c.requests[id]; !ok || !r.holdsKey {
		return
	}
	if ran == queue.RanNo {
		c.updateKeys(once.NotRunMsg{Now: c.now(), Request: uint64(id)})
		return
	}
	c.updateKeys(once.DoneMsg{Now: c.now(), Request: uint64(id)})
}

func (c *core) onKeyVerdict(owner fleet.Name, m wire.KeyVerdict) {
	c.updateKeys(once.VerdictMsg{Now: c.now(), Owner: owner, Request: m.Request, Verdict: once.Verdict(m.Verdict)})
}

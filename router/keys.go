package router

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/wire"
)

// idempotency is the key of a request, as its caller gave it.
type idempotency struct {
	key  once.Key
	made time.Time // zero where the caller does not say
}

// askKey has the owners of a request's key note it, before the request may
// wait for a server.
func (c *core) askKey(e arriveEvent) {
	c.open[e.request.ID].parked = &e.request
	c.feedKeys(once.AcquireMsg{
		Now:       c.now(),
		Holder:    c.holder(e.request.ID),
		Key:       e.idempotency.key,
		CreatedAt: e.idempotency.made,
		Agents:    c.inForce.Bundle.ServersOf(e.request.Key.Work),
	})
}

func (c *core) holder(id queue.RequestID) once.Holder {
	return once.Holder{Router: c.settings.Name, Incarnation: c.incarnation, Request: uint64(id)}
}

// feedKeys gives the asker one message and carries out what it wants.
func (c *core) feedKeys(m once.CoordinatorMsg) {
	for _, cmd := range c.keys.Update(m) {
		c.performKeys(cmd)
	}
}

func (c *core) performKeys(cmd once.Command) {
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
		c.keyDecided(queue.RequestID(cmd.Request), cmd.Decision)
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

// keyDecided lets a parked request wait for a server, or answers it.
func (c *core) keyDecided(id queue.RequestID, d once.Decision) {
	r, ok := c.open[id]
	if !ok || r.parked == nil {
		return
	}
	request := *r.parked
	r.parked = nil
	switch d {
	case once.DecisionRun:
		r.keyed = true
		c.feed(queue.RequestMsg{Now: c.now(), Request: request})
	case once.DecisionDuplicate:
		c.answerUnrun(id, reasonRepeat, queue.RanUnknown)
	case once.DecisionUncertain:
		c.answerUnrun(id, reasonUnsure, queue.RanNo)
	}
}

// answerUnrun gives a request that never reached the machine its answer.
func (c *core) answerUnrun(id queue.RequestID, why queue.Reason, ran queue.Ran) {
	c.decide(id, decision{refuse: &queue.RefuseCmd{ID: id, Reason: why, Ran: ran, RetryAfter: time.Second}})
	delete(c.open, id)
}

// freeKey gives a key back, or leaves it noted, once its request has had its
// final answer.
func (c *core) freeKey(id queue.RequestID, ran queue.Ran) {
	if r, ok := c.open[id]; !ok || !r.keyed {
		return
	}
	if ran == queue.RanNo {
		c.feedKeys(once.NotRunMsg{Now: c.now(), Request: uint64(id)})
		return
	}
	c.feedKeys(once.DoneMsg{Now: c.now(), Request: uint64(id)})
}

func (c *core) onVerdict(owner fleet.Name, m wire.KeyVerdict) {
	c.feedKeys(once.VerdictMsg{Now: c.now(), Owner: owner, Request: m.Request, Verdict: once.Verdict(m.Verdict)})
}

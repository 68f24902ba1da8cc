package agent

import (
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/sched"
	"github.com/croftvale/croftvale/wire"
)

// onLink handles the start, the end or a message of a link.
func (c *core) onLink(e link.Event) {
	name := e.Conn.Peer.Name
	switch e.Kind {
	case link.EventUp:
		c.linkUp(name, e.Conn)
	case link.EventDown:
		c.linkDown(name, e.Conn)
	case link.EventMessage:
		c.onMessage(name, e)
	}
}

// linkUp registers a new link to a router. It closes an older link of the same
// router, whose end has not been detected yet.
func (c *core) linkUp(name fleet.Name, conn *link.Conn) {
	if conn.Peer.Role != wire.RoleRouter {
		conn.Close(errNotRouter)
		return
	}
	if old, ok := c.routers[name]; ok {
		old.conn.Close(errReplaced)
		c.updateScheduler(sched.RouterDownMsg{Now: c.now(), Router: name})
	}
	c.routers[name] = &routerLink{conn: conn}
	conn.Send(c.heartbeatMessage())
	c.updateScheduler(sched.RouterUpMsg{Now: c.now(), Router: name})
}

func (c *core) linkDown(name fleet.Name, conn *link.Conn) {
	if r, ok := c.routers[name]; !ok || r.conn != conn {
		return
	}
	delete(c.routers, name)
	c.updateScheduler(sched.RouterDownMsg{Now: c.now(), Router: name})
}

func (c *core) onMessage(name fleet.Name, e link.Event) {
	r, ok := c.routers[name]
	if !ok || r.conn != e.Conn {
		return
	}
	switch m := e.Msg.(type) {
	case wire.Heartbeat:
		c.onHeartbeat(name, r, m)
	case wire.Alive:
		c.updateScheduler(sched.RouterAliveMsg{Now: c.now(), Router: name})
	case wire.Name:
		r.conn.InNames.Add(m)
	case wire.Demand:
		c.updateScheduler(sched.DemandMsg{Now: c.now(), Router: name, Counts: r.conn.DecodeCounts(m.Rows)})
	case wire.Deny:
		c.updateScheduler(sched.DenyMsg{Now: c.now(), Seq: m.Seq, Count: r.conn.DecodeCount(m.Row)})
	case wire.Totals:
		c.updateScheduler(sched.TotalsMsg{Now: c.now(), Rows: r.conn.DecodeService(m.Rows)})
	case wire.KeyReserve:
		c.reserveKey(r, m)
	case wire.KeyRelease:
		c.releaseKey(r, m)
	case wire.BundleData:
		c.adopter.Offer(bundle.OfferMsg{Order: m.Order, Content: m.Content, Base: m.Base})
	}
}

func (c *core) onHeartbeat(name fleet.Name, r *routerLink, m wire.Heartbeat) {
	if m.Hub != r.lastHeartbeat.Hub {
		c.updateScheduler(sched.RouterUpMsg{Now: c.now(), Router: name, Hub: m.Hub})
	}
	r.lastHeartbeat = m
	c.updateScheduler(sched.RouterAliveMsg{Now: c.now(), Router: name})
	c.pullFrom(r)
}

// pullFrom pulls the bundle of a router if it is newer than the active one. A second
// pull is sent only after pullTimeout or after a bundle has been applied.
func (c *core) pullFrom(r *routerLink) {
	if r.lastHeartbeat.Generation <= c.active.Generation() || c.now() < c.nextPull {
		return
	}
	c.nextPull = c.now() + pullTimeout
	r.conn.Send(wire.BundlePull{Have: c.active.Generation()})
}

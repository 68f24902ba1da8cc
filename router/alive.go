package router

import "github.com/croftvale/croftvale/wire"

func (c *core) hello() wire.Hello {
	return wire.Hello{
		Name: c.settings.Name, Role: wire.RoleRouter, Hall: c.settings.Hall,
		Incarnation: c.incarnation,
	}
}

// keepAlive gives a sign of life on links that carry nothing else, and asks
// again for a bundle that a peer has and this process has not.
func (c *core) keepAlive() {
	for _, p := range c.peers {
		c.pullFrom(p)
	}
	if c.pulse.Adjust(len(c.peers)) {
		c.heartbeat()
		return
	}
	for _, p := range c.peers {
		if p.conn.HeartbeatDue(c.pulse.Every()) {
			p.conn.Send(wire.Alive{})
		}
	}
}

// heartbeat tells every peer at once that something has changed.
func (c *core) heartbeat() {
	for _, p := range c.peers {
		p.conn.Send(c.beat(p))
	}
}

func (c *core) beat(p *peer) wire.Heartbeat {
	return wire.Heartbeat{
		Generation: c.inForce.Generation(), Leaving: c.leaving, Serving: true, Hub: p.hub,
		Every: c.pulse.Milliseconds(),
	}
}

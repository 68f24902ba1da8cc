package agent

import "github.com/croftvale/croftvale/wire"

func (c *core) hello() wire.Hello {
	return wire.Hello{
		Name: c.settings.Name, Role: wire.RoleAgent, Hall: c.settings.Hall,
		Incarnation: c.incarnation,
	}
}

// keepAlive gives a sign of life on links that carry nothing else, and asks
// again for a bundle that a peer has and this process has not.
func (c *core) keepAlive() {
	for _, r := range c.routers {
		c.pullFrom(r)
	}
	if c.pulse.Adjust(len(c.routers)) {
		c.heartbeat()
		return
	}
	for _, r := range c.routers {
		if r.conn.HeartbeatDue(c.pulse.Every()) {
			r.conn.Send(wire.Alive{})
		}
	}
}

// heartbeat tells every peer at once that something has changed.
func (c *core) heartbeat() {
	for _, r := range c.routers {
		r.conn.Send(c.beat())
	}
}

func (c *core) beat() wire.Heartbeat {
	return wire.Heartbeat{
		Generation: c.inForce.Generation(), Leaving: c.leaving, Serving: c.serving,
		Every: c.pulse.Milliseconds(),
	}
}

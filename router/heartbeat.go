package router

import "github.com/croftvale/croftvale/wire"

func (c *core) hello() wire.Hello {
	return wire.Hello{
		Name: c.settings.Name, Role: wire.RoleRouter, Hall: c.settings.Hall,
		Incarnation: c.incarnation,
	}
}

// keepAlive sends wire.Alive on every link that has been idle for the heartbeat
// interval, or a heartbeat on all links if that interval has changed. It also
// repeats bundle pulls that have not brought a newer bundle.
func (c *core) keepAlive() {
	for _, p := range c.peers {
		c.pullFrom(p)
	}
	if c.pulse.Adjust(len(c.peers)) {
		c.broadcastHeartbeat()
		return
	}
	for _, p := range c.peers {
		if p.conn.HeartbeatDue(c.pulse.Every()) {
			p.conn.Send(wire.Alive{})
		}
	}
}

// broadcastHeartbeat sends the current state to every peer at once.
func (c *core) broadcastHeartbeat() {
	for _, p := range c.peers {
		p.conn.Send(c.heartbeatFor(p))
	}
}

func (c *core) heartbeatFor(p *peer) wire.Heartbeat {
	return wire.Heartbeat{
		Generation: c.active.Generation(), Leaving: c.leaving, Serving: true, Hub: p.hubFor,
		Every: c.pulse.Milliseconds(),
	}
}

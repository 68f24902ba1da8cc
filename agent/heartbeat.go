package agent

import "github.com/croftvale/croftvale/wire"

func (c *core) hello() wire.Hello {
	return wire.Hello{
		Name: c.settings.Name, Role: wire.RoleAgent, Hall: c.settings.Hall,
		Incarnation: c.incarnation,
	}
}

// keepAlive sends wire.Alive on every link that has been idle for the heartbeat
// interval, or a heartbeat on all links if that interval has changed. It also
// repeats bundle pulls that have not brought a newer bundle.
func (c *core) keepAlive() {
	for _, r := range c.routers {
		c.pullFrom(r)
	}
	if c.pulse.Adjust(len(c.routers)) {
		c.broadcastHeartbeat()
		return
	}
	for _, r := range c.routers {
		if r.conn.HeartbeatDue(c.pulse.Every()) {
			r.conn.Send(wire.Alive{})
		}
	}
}

// broadcastHeartbeat sends the current state to every router at once.
func (c *core) broadcastHeartbeat() {
	for _, r := range c.routers {
		r.conn.Send(c.heartbeatMessage())
	}
}

func (c *core) heartbeatMessage() wire.Heartbeat {
	return wire.Heartbeat{
		Generation: c.active.Generation(), Leaving: c.leaving, Serving: c.serving,
		Every: c.pulse.Milliseconds(),
	}
}

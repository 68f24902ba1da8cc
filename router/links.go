package router

import (
	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/wire"
)

var (
	errReplaced     = errors.New("replaced by a newer link of the same process")
	errUnknownAgent = errors.New("the agent is not in the active bundle; add its server to the bundle or stop it")
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
		if p, ok := c.peers[name]; ok && p.conn == e.Conn {
			c.onMessage(name, p, e.Msg)
		}
	}
}

// linkUp registers a new link. It closes an older link of the same process, whose
// end has not been detected yet.
func (c *core) linkUp(name fleet.Name, conn *link.Conn) {
	if old, ok := c.peers[name]; ok {
		old.conn.Close(errReplaced)
		c.linkDown(name, old.conn)
	}
	p := &peer{conn: conn}
	c.peers[name] = p
	if conn.Peer.Role == wire.RoleAgent {
		if _, known := c.servers[name]; !known {
			conn.Close(errUnknownAgent)
			return
		}
	}
	c.updatePeerRole(name, p)
	conn.Send(c.heartbeatFor(p))
}

func (c *core) linkDown(name fleet.Name, conn *link.Conn) {
	p, ok := c.peers[name]
	if !ok || p.conn != conn {
		return
	}
	delete(c.peers, name)
	if conn.Peer.Role == wire.RoleAgent {
		c.updateQueue(queue.AgentDownMsg{Now: c.now(), Agent: name})
		c.updateHub(ledger.AgentDownMsg{Now: c.now(), Agent: name})
		return
	}
	c.updateHub(ledger.PeerDownMsg{Now: c.now(), Peer: name})
}

func (c *core) onMessage(name fleet.Name, p *peer, m wire.Message) {
	switch m := m.(type) {
	case wire.Heartbeat:
		c.onHeartbeat(name, p, m)
	case wire.Free:
		c.updateQueue(queue.FreeMsg{
			Now: c.now(), Agent: name, Incarnation: p.conn.Peer.Incarnation, Slots: int(m.Slots), First: m.First,
		})
	case wire.Name:
		p.conn.InNames.Add(m)
	case wire.Claim:
		c.updateQueue(queue.ClaimMsg{
			Now:   c.now(),
			Claim: fleet.ClaimID{Agent: name, Incarnation: p.conn.Peer.Incarnation, Seq: m.Seq},
			Key:   p.conn.DecodeKey(m.Work, m.Team, m.Class),
		})
	case wire.Service:
		c.updateHub(ledger.ServiceMsg{
			Now: c.now(), Source: sourceOf(p), Hall: p.conn.Peer.Hall, Rows: p.conn.DecodeService(m.Rows),
		})
	case wire.AgentRows:
		c.updateHub(ledger.ServiceMsg{
			Now: c.now(), Source: ledger.Source{Agent: m.Agent, Incarnation: m.Incarnation},
			Hall: m.Hall, Rows: p.conn.DecodeService(m.Rows),
		})
	case wire.HallTotals:
		c.updateHub(ledger.HallTotalsMsg{Now: c.now(), Hall: m.Hall, Rows: p.conn.DecodeService(m.Rows)})
	case wire.KeyVerdict:
		c.onKeyVerdict(name, m)
	case wire.BundlePull:
		c.sendBundle(p, m.Have)
	case wire.BundleData:
		c.adopter.Offer(bundle.OfferMsg{Order: m.Order, Content: m.Content, Base: m.Base})
	}
}

// onHeartbeat records a peer's heartbeat and pulls the peer's bundle if that is
// newer.
func (c *core) onHeartbeat(name fleet.Name, p *peer, m wire.Heartbeat) {
	previous := p.lastHeartbeat
	p.lastHeartbeat = m
	if p.conn.Peer.Role == wire.RoleAgent {
		c.onAgentHeartbeat(name, p, previous, m)
	}
	c.pullFrom(p)
}

// onAgentHeartbeat updates the queue when an agent starts or stops accepting
// work.
func (c *core) onAgentHeartbeat(name fleet.Name, p *peer, previous, current wire.Heartbeat) {
	wasServing := previous.Serving && !previous.Leaving
	isServing := current.Serving && !current.Leaving
	switch {
	case isServing && !wasServing:
		c.agentServing(name, p)
	case wasServing && !isServing:
		c.updateQueue(queue.AgentLeavingMsg{Now: c.now(), Agent: name})
	}
}

func (c *core) agentServing(name fleet.Name, p *peer) {
	s := c.servers[name]
	c.updateQueue(queue.AgentUpMsg{Now: c.now(), Agent: name, Hall: p.conn.Peer.Hall, Works: s.Works})
}

// refreshAgents updates the queue with the works of all linked agents under the
// active bundle. Agents whose servers the bundle lacks or marks as leaving get
// no more requests.
func (c *core) refreshAgents() {
	for name, p := range c.peers {
		if p.conn.Peer.Role != wire.RoleAgent {
			continue
		}
		s, ok := c.servers[name]
		if !ok || s.Leaving {
			c.updateQueue(queue.AgentLeavingMsg{Now: c.now(), Agent: name})
			continue
		}
		if p.lastHeartbeat.Serving && !p.lastHeartbeat.Leaving {
			c.agentServing(name, p)
		}
	}
}

// sendBundle sends a peer the active bundle if that is newer than the peer's
// generation, and as a patch if there is one for that generation.
func (c *core) sendBundle(p *peer, have fleet.Generation) {
	if c.active.Generation() <= have {
		return
	}
	order := c.active.Order.Encode()
	if patch, ok := c.patches.From(have); ok {
		p.conn.Send(wire.BundleData{Order: order, Base: have, Content: patch})
		return
	}
	c.active.Content = c.active.Packed()
	p.conn.Send(wire.BundleData{Order: order, Content: c.active.Content})
}

func sourceOf(p *peer) ledger.Source {
	return ledger.Source{Agent: p.conn.Peer.Name, Incarnation: p.conn.Peer.Incarnation}
}

// pullFrom pulls the bundle of another router if it is newer than the active one.
// A second pull is sent only after pullTimeout or after a bundle has been applied.
// Agents have bundles, too, but don't send them.
func (c *core) pullFrom(p *peer) {
	if p.conn.Peer.Role != wire.RoleRouter {
		return
	}
	if p.lastHeartbeat.Generation <= c.active.Generation() || c.now() < c.nextPull {
		return
	}
	c.nextPull = c.now() + pullTimeout
	p.conn.Send(wire.BundlePull{Have: c.active.Generation()})
}

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
	errReplaced = errors.New("replaced by a newer link of the same process")
	errStranger = errors.New("the agent is not in the bundle in force; add its server to the bundle or stop it")
)

// onLink handles what happened on a link.
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

// linkUp takes a link. A newer link of the same process replaces an older one
// whose end has not been noticed yet.
func (c *core) linkUp(name fleet.Name, conn *link.Conn) {
	if old, ok := c.peers[name]; ok {
		old.conn.Close(errReplaced)
		c.linkDown(name, old.conn)
	}
	p := &peer{conn: conn}
	c.peers[name] = p
	if conn.Peer.Role == wire.RoleAgent {
		if _, known := c.servers[name]; !known {
			conn.Close(errStranger)
			return
		}
	}
	c.shapePeer(name, p)
	conn.Send(c.beat(p))
}

func (c *core) linkDown(name fleet.Name, conn *link.Conn) {
	p, ok := c.peers[name]
	if !ok || p.conn != conn {
		return
	}
	delete(c.peers, name)
	if conn.Peer.Role == wire.RoleAgent {
		c.feed(queue.AgentDownMsg{Now: c.now(), Agent: name})
		c.feedHub(ledger.AgentDownMsg{Now: c.now(), Agent: name})
		return
	}
	c.feedHub(ledger.PeerDownMsg{Now: c.now(), Peer: name})
}

func (c *core) onMessage(name fleet.Name, p *peer, m wire.Message) {
	switch m := m.(type) {
	case wire.Heartbeat:
		c.onHeartbeat(name, p, m)
	case wire.Free:
		c.feed(queue.FreeMsg{
			Now: c.now(), Agent: name, Incarnation: p.conn.Peer.Incarnation, Slots: int(m.Slots), First: m.First,
		})
	case wire.Name:
		p.conn.InNames.Learn(m)
	case wire.Claim:
		c.feed(queue.ClaimMsg{
			Now:   c.now(),
			Claim: fleet.ClaimID{Agent: name, Incarnation: p.conn.Peer.Incarnation, Seq: m.Seq},
			Key:   p.conn.DecodeKey(m.Work, m.Team, m.Class),
		})
	case wire.Service:
		c.feedHub(ledger.ServiceMsg{
			Now: c.now(), Source: sourceOf(p), Hall: p.conn.Peer.Hall, Rows: p.conn.DecodeService(m.Rows),
		})
	case wire.AgentRows:
		c.feedHub(ledger.ServiceMsg{
			Now: c.now(), Source: ledger.Source{Agent: m.Agent, Incarnation: m.Incarnation},
			Hall: m.Hall, Rows: p.conn.DecodeService(m.Rows),
		})
	case wire.HallTotals:
		c.feedHub(ledger.HallTotalsMsg{Now: c.now(), Hall: m.Hall, Rows: p.conn.DecodeService(m.Rows)})
	case wire.KeyVerdict:
		c.onVerdict(name, m)
	case wire.BundlePull:
		c.sendBundle(p, m.Have)
	case wire.BundleData:
		c.keeper.Offer(bundle.OfferMsg{Order: m.Order, Content: m.Content, Base: m.Base})
	}
}

// onHeartbeat notes what a peer says of itself, and asks it for its bundle if
// that is newer.
func (c *core) onHeartbeat(name fleet.Name, p *peer, m wire.Heartbeat) {
	before := p.last
	p.last = m
	if p.conn.Peer.Role == wire.RoleAgent {
		c.agentSays(name, p, before, m)
	}
	c.pullFrom(p)
}

// agentSays follows an agent's coming and going.
func (c *core) agentSays(name fleet.Name, p *peer, before, now wire.Heartbeat) {
	was := before.Serving && !before.Leaving
	is := now.Serving && !now.Leaving
	switch {
	case is && !was:
		c.agentUp(name, p)
	case was && !is:
		c.feed(queue.AgentLeavingMsg{Now: c.now(), Agent: name})
	}
}

func (c *core) agentUp(name fleet.Name, p *peer) {
	s := c.servers[name]
	c.feed(queue.AgentUpMsg{Now: c.now(), Agent: name, Hall: p.conn.Peer.Hall, Works: s.Works})
}

// refreshAgents tells the machine of servers whose works have changed.
func (c *core) refreshAgents() {
	for name, p := range c.peers {
		if p.conn.Peer.Role != wire.RoleAgent {
			continue
		}
		s, ok := c.servers[name]
		if !ok || s.Leaving {
			c.feed(queue.AgentLeavingMsg{Now: c.now(), Agent: name})
			continue
		}
		if p.last.Serving && !p.last.Leaving {
			c.agentUp(name, p)
		}
	}
}

func (c *core) sendBundle(p *peer, have fleet.Generation) {
	if c.inForce.Generation() <= have {
		return
	}
	order := c.inForce.Order.Encode()
	if patch, ok := c.patches.From(have); ok {
		p.conn.Send(wire.BundleData{Order: order, Base: have, Content: patch})
		return
	}
	c.inForce.Content = c.inForce.Packed()
	p.conn.Send(wire.BundleData{Order: order, Content: c.inForce.Content})
}

func sourceOf(p *peer) ledger.Source {
	return ledger.Source{Agent: p.conn.Peer.Name, Incarnation: p.conn.Peer.Incarnation}
}

// pullFrom asks another router for its bundle if that is newer, and nobody has
// been asked just now. Agents have bundles too, but pass none on.
func (c *core) pullFrom(p *peer) {
	if p.conn.Peer.Role != wire.RoleRouter {
		return
	}
	if p.last.Generation <= c.inForce.Generation() || c.now() < c.pullAgain {
		return
	}
	c.pullAgain = c.now() + pullTimeout
	p.conn.Send(wire.BundlePull{Have: c.inForce.Generation()})
}

package router

import (
	"slices"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/objectapi"
	"github.com/croftvale/croftvale/wire"
)

// duty is which router does what, by the list of hosts. Routers with lagging
// lists may see it differently for a while: that costs bytes, not correctness.
type duty struct {
	routers []fleet.Name
	halls   map[fleet.Name]fleet.Hall
	hubs    map[fleet.Hall][]fleet.Name // by rank
}

func (d duty) isHub(hall fleet.Hall, n fleet.Name) bool {
	return slices.Contains(d.hubs[hall], n)
}

// rank returns a router's place among the hubs of its own hall, or -1.
func (d duty) rank(n fleet.Name) int {
	return slices.Index(d.hubs[d.halls[n]], n)
}

// pairs tells whether hub a sends its hall's totals to hub b of another hall:
// each hub there has one hub here that does.
func (d duty) pairs(a, b fleet.Name) bool {
	ra, rb := d.rank(a), d.rank(b)
	if ra < 0 || rb < 0 || d.halls[a] == d.halls[b] {
		return false
	}
	here := len(d.hubs[d.halls[a]])
	return rb%here == ra
}

// dutyOf works out the duties from the list of hosts; the router itself always
// counts, whatever the list says.
func (c *core) dutyOf() duty {
	d := duty{halls: map[fleet.Name]fleet.Hall{}, hubs: map[fleet.Hall][]fleet.Name{}}
	d.add(c.settings.Name, c.settings.Hall)
	for _, h := range c.hosts {
		if h.Role == string(wire.RoleRouter) && h.State == objectapi.HostLive && h.Name != c.settings.Name {
			d.add(h.Name, h.Hall)
		}
	}
	slices.Sort(d.routers)
	for _, hall := range c.hallsInUse(d) {
		d.hubs[hall] = fleet.Rendezvous("hub/"+string(hall), d.candidates(hall), c.policy.HubsPerHall)
	}
	return d
}

func (d *duty) add(n fleet.Name, hall fleet.Hall) {
	d.routers = append(d.routers, n)
	d.halls[n] = hall
}

// candidates returns the routers that may be hubs of a hall: its own, or all
// where it has none.
func (d duty) candidates(hall fleet.Hall) []fleet.Name {
	var own []fleet.Name
	for _, n := range d.routers {
		if d.halls[n] == hall {
			own = append(own, n)
		}
	}
	if len(own) == 0 {
		return d.routers
	}
	return own
}

// hallsInUse returns every hall with a router or a backend server.
func (c *core) hallsInUse(d duty) []fleet.Hall {
	var halls []fleet.Hall
	for _, h := range d.halls {
		halls = append(halls, h)
	}
	for _, s := range c.servers {
		halls = append(halls, s.Hall)
	}
	slices.Sort(halls)
	return slices.Compact(halls)
}

// reshape works out the duties and the links that they need anew.
func (c *core) reshape() {
	before := c.duty.routers
	c.duty = c.dutyOf()
	if !slices.Equal(before, c.duty.routers) || c.linkedFor != c.policy.LinksPerServer {
		c.linked = map[fleet.Name]bool{}
		c.linkedFor = c.policy.LinksPerServer
	}
	c.dialer.want(c.targets())
	for name, p := range c.peers {
		was := p.hub
		c.shapePeer(name, p)
		if p.hub != was {
			p.conn.Send(c.beat(p))
		}
	}
}

// targets returns the addresses that this router keeps links to.
func (c *core) targets() map[string]bool {
	out := map[string]bool{}
	for _, s := range c.servers {
		if c.linksTo(s.Name, s.Hall) {
			out[s.Agent.String()] = true
		}
	}
	for _, h := range c.hosts {
		if _, live := c.duty.halls[h.Name]; live && c.dials(h) {
			out[h.ControlAddress] = true
		}
	}
	for _, a := range c.settings.Peers {
		if c.inForce.Generation() == 0 {
			out[a.String()] = true // only to find a first bundle
		}
	}
	return out
}

// linksTo tells whether this router is one of those that link to an agent.
func (c *core) linksTo(server fleet.Name, hall fleet.Hall) bool {
	if c.duty.isHub(hall, c.settings.Name) {
		return true
	}
	if linked, known := c.linked[server]; known {
		return linked
	}
	linked := fleet.Ranks("links/"+string(server), c.duty.routers, c.settings.Name, c.policy.LinksPerServer)
	c.linked[server] = linked
	return linked
}

// dials tells whether this router dials another: hubs link to each other and
// to the routers of their halls; of two, the lesser name dials.
func (c *core) dials(h objectapi.Host) bool {
	self := c.settings.Name
	if self >= h.Name {
		return false
	}
	a, b := c.duty.rank(self) >= 0, c.duty.rank(h.Name) >= 0
	sameHall := c.duty.halls[self] == c.duty.halls[h.Name]
	return (a && b) || (sameHall && (a || b))
}

// shapePeer tells the hub whom it serves and whom it pairs with.
func (c *core) shapePeer(name fleet.Name, p *peer) {
	if p.conn.Peer.Role == wire.RoleAgent {
		c.shapeAgent(name, p)
		return
	}
	shape := peerShape{pair: c.duty.pairs(c.settings.Name, name), known: true}
	if shape == p.shape {
		return
	}
	p.shape = shape
	c.feedHub(ledger.PeerUpMsg{Now: c.now(), Peer: name, Hall: p.conn.Peer.Hall, Paired: shape.pair})
}

func (c *core) shapeAgent(name fleet.Name, p *peer) {
	hub := c.duty.isHub(p.conn.Peer.Hall, c.settings.Name)
	if hub == p.hub {
		return
	}
	p.hub = hub
	if !hub {
		c.feedHub(ledger.AgentDownMsg{Now: c.now(), Agent: name})
		return
	}
	c.feedHub(ledger.AgentUpMsg{Now: c.now(), Source: sourceOf(p), Hall: p.conn.Peer.Hall})
}

// feedHub gives the hub one message and carries out what it wants.
func (c *core) feedHub(m ledger.Msg) {
	for _, cmd := range c.hub.Update(m) {
		c.performHub(cmd)
	}
}

func (c *core) performHub(cmd ledger.Command) {
	switch cmd := cmd.(type) {
	case ledger.TotalsCmd:
		c.send(cmd.Agent, func(conn *link.Conn) wire.Message {
			return wire.Totals{Rows: conn.SpellService(cmd.Rows)}
		})
	case ledger.HallTotalsCmd:
		c.send(cmd.Peer, func(conn *link.Conn) wire.Message {
			return wire.HallTotals{Hall: cmd.Hall, Rows: conn.SpellService(cmd.Rows)}
		})
	case ledger.AgentRowsCmd:
		c.send(cmd.Peer, func(conn *link.Conn) wire.Message {
			return wire.AgentRows{
				Hall: cmd.Hall, Agent: cmd.Source.Agent,
				Incarnation: cmd.Source.Incarnation, Rows: conn.SpellService(cmd.Rows),
			}
		})
	}
}

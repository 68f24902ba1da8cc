package router

import (
	"slices"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/objectapi"
	"github.com/croftvale/croftvale/wire"
)

// hubAssignment holds the live routers, and the hubs of each hall, derived from
// the list of hosts. Routers with stale lists may derive different assignments
// for a while, which costs bandwidth but not correctness.
type hubAssignment struct {
	routers []fleet.Name
	halls   map[fleet.Name]fleet.Hall   // by router
	hubs    map[fleet.Hall][]fleet.Name // by hall, best rank first
}

func (ha hubAssignment) isHub(hall fleet.Hall, n fleet.Name) bool {
	return slices.Contains(ha.hubs[hall], n)
}

// rank returns a router's index among the hubs of its own hall, or -1 if it is
// not one of them.
func (ha hubAssignment) rank(n fleet.Name) int {
	return slices.Index(ha.hubs[ha.halls[n]], n)
}

// isPaired reports whether hub a sends its hall's totals to hub b of another
// hall. Each hub of b's hall is paired with exactly one hub of a's hall.
func (ha hubAssignment) isPaired(a, b fleet.Name) bool {
	ra, rb := ha.rank(a), ha.rank(b)
	if ra < 0 || rb < 0 || ha.halls[a] == ha.halls[b] {
		return false
	}
	hubCount := len(ha.hubs[ha.halls[a]])
	return rb%hubCount == ra
}

// assignHubs computes the assignment from the list of hosts. The router itself
// is always included, even if the list lacks it.
func (c *core) assignHubs() hubAssignment {
	assignment := hubAssignment{halls: map[fleet.Name]fleet.Hall{}, hubs: map[fleet.Hall][]fleet.Name{}}
	assignment.addRouter(c.settings.Name, c.settings.Hall)
	for _, h := range c.hosts {
		if h.Role == string(wire.RoleRouter) && h.State == objectapi.HostLive && h.Name != c.settings.Name {
			assignment.addRouter(h.Name, h.Hall)
		}
	}
	slices.Sort(assignment.routers)
	for _, hall := range c.hallsInUse(assignment) {
		assignment.hubs[hall] = fleet.Rendezvous("hub/"+string(hall), assignment.hubCandidates(hall), c.policy.HubsPerHall)
	}
	return assignment
}

func (ha *hubAssignment) addRouter(n fleet.Name, hall fleet.Hall) {
	ha.routers = append(ha.routers, n)
	ha.halls[n] = hall
}

// hubCandidates returns the routers that may be hubs of a hall: those in the
// hall, or all routers if the hall has none.
func (ha hubAssignment) hubCandidates(hall fleet.Hall) []fleet.Name {
	var own []fleet.Name
	for _, n := range ha.routers {
		if ha.halls[n] == hall {
			own = append(own, n)
		}
	}
	if len(own) == 0 {
		return ha.routers
	}
	return own
}

// hallsInUse returns the halls that have a live router or a backend server.
func (c *core) hallsInUse(a hubAssignment) []fleet.Hall {
	var halls []fleet.Hall
	for _, h := range a.halls {
		halls = append(halls, h)
	}
	for _, s := range c.servers {
		halls = append(halls, s.Hall)
	}
	slices.Sort(halls)
	return slices.Compact(halls)
}

// updateTopology recomputes the hub assignment and the links that it needs.
func (c *core) updateTopology() {
	before := c.assignment.routers
	c.assignment = c.assignHubs()
	if !slices.Equal(before, c.assignment.routers) || c.cachedLinksPerServer != c.policy.LinksPerServer {
		c.linkCache = map[fleet.Name]bool{}
		c.cachedLinksPerServer = c.policy.LinksPerServer
	}
	c.dialer.setAddresses(c.linkAddresses())
	for name, p := range c.peers {
		wasHub := p.hubFor
		c.updatePeerRole(name, p)
		if p.hubFor != wasHub {
			p.conn.Send(c.heartbeatFor(p))
		}
	}
}

// linkAddresses returns the addresses that this router maintains links to.
func (c *core) linkAddresses() map[string]bool {
	out := map[string]bool{}
	for _, s := range c.servers {
		if c.shouldLink(s.Name, s.Hall) {
			out[s.Agent.String()] = true
		}
	}
	for _, h := range c.hosts {
		if _, live := c.assignment.halls[h.Name]; live && c.shouldDial(h) {
			out[h.ControlAddress] = true
		}
	}
	for _, a := range c.settings.Peers {
		if c.active.Generation() == 0 {
			out[a.String()] = true // needed only to get the first bundle
		}
	}
	return out
}

// shouldLink reports whether this router links to the agent of a server. It does if
// it is a hub of the hall or among the server's LinksPerServer routers, which are
// chosen by rendezvous hashing.
func (c *core) shouldLink(server fleet.Name, hall fleet.Hall) bool {
	if c.assignment.isHub(hall, c.settings.Name) {
		return true
	}
	if linked, cached := c.linkCache[server]; cached {
		return linked
	}
	linked := fleet.InRendezvous("links/"+string(server), c.assignment.routers, c.settings.Name, c.policy.LinksPerServer)
	c.linkCache[server] = linked
	return linked
}

// shouldDial reports whether this router dials another. Hubs link to each other
// and to the routers of their own halls. Of two routers, the one whose name sorts
// first dials.
func (c *core) shouldDial(h objectapi.Host) bool {
	self := c.settings.Name
	if self >= h.Name {
		return false
	}
	a, b := c.assignment.rank(self) >= 0, c.assignment.rank(h.Name) >= 0
	sameHall := c.assignment.halls[self] == c.assignment.halls[h.Name]
	return (a && b) || (sameHall && (a || b))
}

// updatePeerRole passes the peer's role under the current assignment to the hub:
// whether an agent is served by the hub, or whether a router is paired with it.
func (c *core) updatePeerRole(name fleet.Name, p *peer) {
	if p.conn.Peer.Role == wire.RoleAgent {
		c.updateAgentRole(name, p)
		return
	}
	state := hubPeerState{paired: c.assignment.isPaired(c.settings.Name, name), registered: true}
	if state == p.hubState {
		return
	}
	p.hubState = state
	c.updateHub(ledger.PeerUpMsg{Now: c.now(), Peer: name, Hall: p.conn.Peer.Hall, Paired: state.paired})
}

func (c *core) updateAgentRole(name fleet.Name, p *peer) {
	hub := c.assignment.isHub(p.conn.Peer.Hall, c.settings.Name)
	if hub == p.hubFor {
		return
	}
	p.hubFor = hub
	if !hub {
		c.updateHub(ledger.AgentDownMsg{Now: c.now(), Agent: name})
		return
	}
	c.updateHub(ledger.AgentUpMsg{Now: c.now(), Source: sourceOf(p), Hall: p.conn.Peer.Hall})
}

// updateHub passes a message to the hub and executes the commands that it
// returns.
func (c *core) updateHub(m ledger.Msg) {
	for _, cmd := range c.hub.Update(m) {
		c.executeHubCmd(cmd)
	}
}

func (c *core) executeHubCmd(cmd ledger.Command) {
	switch cmd := cmd.(type) {
	case ledger.TotalsCmd:
		c.send(cmd.Agent, func(conn *link.Conn) wire.Message {
			return wire.Totals{Rows: conn.EncodeService(cmd.Rows)}
		})
	case ledger.HallTotalsCmd:
		c.send(cmd.Peer, func(conn *link.Conn) wire.Message {
			return wire.HallTotals{Hall: cmd.Hall, Rows: conn.EncodeService(cmd.Rows)}
		})
	case ledger.AgentRowsCmd:
		c.send(cmd.Peer, func(conn *link.Conn) wire.Message {
			return wire.AgentRows{
				Hall: cmd.Hall, Agent: cmd.Source.Agent,
				Incarnation: cmd.Source.Incarnation, Rows: conn.EncodeService(cmd.Rows),
			}
		})
	}
}

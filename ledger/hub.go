package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Hub adds up service for the agents that it serves.
type Hub struct {
	self   fleet.Name
	hall   fleet.Hall
	lives  map[Source]*life
	halls  map[fleet.Hall]*hallState
	agents []*agentLink // by name
	peers  []*peerLink  // by name
	sentAt time.Duration
}

// life is the service of one life of one agent.
type life struct {
	hall    fleet.Hall
	service vector
}

// agentLink is an agent that is sent totals, and what it was sent.
type agentLink struct {
	source Source
	hall   fleet.Hall
	sent   vector
}

// peerLink is another hub, and what it was sent.
type peerLink struct {
	name fleet.Name
	hall fleet.Hall
	pair bool
	sent map[fleet.Hall]vector
}

// NewHub returns a hub that knows of no service.
func NewHub(self fleet.Name, hall fleet.Hall) *Hub {
	return &Hub{
		self:  self,
		hall:  hall,
		lives: map[Source]*life{},
		halls: map[fleet.Hall]*hallState{},
	}
}

// Update takes one message and returns what is to be done about it, in order.
func (h *Hub) Update(msg Msg) []Command {
	switch msg := msg.(type) {
	case AgentUpMsg:
		h.agentUp(msg)
	case AgentDownMsg:
		h.agentDown(msg)
	case PeerUpMsg:
		return h.peerUp(msg)
	case PeerDownMsg:
		h.peerDown(msg)
	case ServiceMsg:
		h.service(msg)
	case HallTotalsMsg:
		h.hallTotals(msg)
	case TickMsg:
		return h.tick(msg)
	}
	return nil
}

// Totals returns the service of the whole fleet as this hub knows it.
func (h *Hub) Totals() []Row { return h.total().rows() }

// Lives returns how many lives of agents the hub remembers.
func (h *Hub) Lives() int { return len(h.lives) }

func (h *Hub) agent(n fleet.Name) (int, bool) {
	return slices.BinarySearchFunc(h.agents, n, func(a *agentLink, n fleet.Name) int {
		return cmp.Compare(a.source.Agent, n)
	})
}

func (h *Hub) peer(n fleet.Name) (int, bool) {
	return slices.BinarySearchFunc(h.peers, n, func(p *peerLink, n fleet.Name) int {
		return cmp.Compare(p.name, n)
	})
}

func (h *Hub) agentUp(msg AgentUpMsg) {
	i, ok := h.agent(msg.Source.Agent)
	if !ok {
		h.agents = slices.Insert(h.agents, i, &agentLink{})
		h.serve(msg)
	}
	*h.agents[i] = agentLink{source: msg.Source, hall: msg.Hall, sent: vector{}}
}

// serve counts one more linked agent of a hall; the first starts the time in
// which the hall settles.
func (h *Hub) serve(msg AgentUpMsg) {
	s := h.hallState(msg.Hall)
	if s.linked == 0 {
		s.since = msg.Now
	}
	s.linked++
}

func (h *Hub) agentDown(msg AgentDownMsg) {
	i, ok := h.agent(msg.Agent)
	if !ok {
		return
	}
	h.hallState(h.agents[i].hall).linked--
	h.agents = slices.Delete(h.agents, i, i+1)
}

// peerUp tells another hub of the same hall of every life that is known here,
// so that a hub that has just started learns of those that have ended.
func (h *Hub) peerUp(msg PeerUpMsg) []Command {
	i, ok := h.peer(msg.Peer)
	if !ok {
		h.peers = slices.Insert(h.peers, i, &peerLink{})
	}
	*h.peers[i] = peerLink{name: msg.Peer, hall: msg.Hall, pair: msg.Pair, sent: map[fleet.Hall]vector{}}
	if msg.Hall != h.hall {
		return h.giveBack(msg)
	}
	var cmds []Command
	for _, src := range h.sources() {
		l := h.lives[src]
		cmds = append(cmds, AgentRowsCmd{Peer: msg.Peer, Source: src, Hall: l.hall, Rows: l.service.rows()})
	}
	return cmds
}

// giveBack tells a hub what is known here of its own hall, for the case that
// every hub of that hall has started anew.
func (h *Hub) giveBack(msg PeerUpMsg) []Command {
	s, ok := h.halls[msg.Hall]
	if !ok || len(s.told) == 0 {
		return nil
	}
	return []Command{HallTotalsCmd{Peer: msg.Peer, Hall: msg.Hall, Rows: s.told.rows()}}
}

func (h *Hub) peerDown(msg PeerDownMsg) {
	if i, ok := h.peer(msg.Peer); ok {
		h.peers = slices.Delete(h.peers, i, i+1)
	}
}

func (h *Hub) sources() []Source {
	out := make([]Source, 0, len(h.lives))
	for s := range h.lives {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// service raises the counters of one life and the sum of its hall.
func (h *Hub) service(msg ServiceMsg) {
	l, ok := h.lives[msg.Source]
	if !ok {
		l = &life{hall: msg.Hall, service: vector{}}
		h.lives[msg.Source] = l
	}
	sum := h.hallState(l.hall).sum
	for _, r := range msg.Rows {
		grown := l.service.merge(r)
		sum.add(r.Team, grown, r.Lift)
	}
}

func (h *Hub) hallState(hall fleet.Hall) *hallState {
	s, ok := h.halls[hall]
	if !ok {
		s = newHallState()
		h.halls[hall] = s
	}
	return s
}

// hallTotals takes the word of another hub for a hall.
func (h *Hub) hallTotals(msg HallTotalsMsg) {
	s := h.hallState(msg.Hall)
	for _, r := range msg.Rows {
		s.told.merge(r)
	}
}

func (h *Hub) total() vector {
	sum := vector{}
	for _, s := range h.halls {
		for t, e := range s.vector() {
			sum.add(t, e.service, e.lift)
		}
	}
	return sum
}

// tick sends a round of totals when one is due.
func (h *Hub) tick(msg TickMsg) []Command {
	if msg.Now-h.sentAt < msg.ShareEvery {
		return nil
	}
	h.sentAt = msg.Now
	for _, s := range h.halls {
		s.settle(msg.Now)
	}
	return append(h.toPeers(), h.toAgents()...)
}

// toPeers sends the halls served here to the hubs that pair with this one.
func (h *Hub) toPeers() []Command {
	var cmds []Command
	for _, p := range h.peers {
		if !p.pair {
			continue
		}
		for _, hall := range h.servedHalls() {
			if hall == p.hall {
				continue
			}
			sent, ok := p.sent[hall]
			if !ok {
				sent = vector{}
				p.sent[hall] = sent
			}
			if rows := h.halls[hall].vector().changed(sent); len(rows) > 0 {
				cmds = append(cmds, HallTotalsCmd{Peer: p.name, Hall: hall, Rows: rows})
			}
		}
	}
	return cmds
}

// servedHalls returns the halls of which this hub may speak.
func (h *Hub) servedHalls() []fleet.Hall {
	var out []fleet.Hall
	for hall, s := range h.halls {
		if s.linked > 0 && s.settled {
			out = append(out, hall)
		}
	}
	slices.Sort(out)
	return out
}

// toAgents sends each agent the totals less its own part. An agent whose hall
// has not settled, or whose own part is not known yet, would count itself
// twice, so it waits.
func (h *Hub) toAgents() []Command {
	if len(h.agents) == 0 {
		return nil
	}
	total := h.total()
	var cmds []Command
	for _, a := range h.agents {
		own, known := h.lives[a.source]
		if !known || !h.hallState(a.hall).settled {
			continue
		}
		rest := less(total, own)
		if rows := rest.changed(a.sent); len(rows) > 0 {
			cmds = append(cmds, TotalsCmd{Agent: a.source.Agent, Rows: rows})
		}
	}
	return cmds
}

// less returns the totals without one life's own service.
func less(total vector, own *life) vector {
	rest := vector{}
	for t, e := range total {
		e.service -= own.service[t].service
		rest[t] = e
	}
	return rest
}

package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// Hub aggregates service counters for the agents that it serves.
type Hub struct {
	self         fleet.Name
	hall         fleet.Hall
	teams        *teamIndex
	incarnations map[Source]*agentService
	halls        map[fleet.Hall]*hallState
	hallNames    []fleet.Hall  // the halls, ordered by name
	agents       []*agentLink  // ordered by name
	peers        []*peerLink   // ordered by name
	changed      changeSet     // teams whose total may have changed since the last round
	sentAt       time.Duration // when the last round was sent
}

// NewHub returns a hub without counters, agents or peers.
func NewHub(self fleet.Name, hall fleet.Hall) *Hub {
	return &Hub{
		self:         self,
		hall:         hall,
		teams:        newTeamIndex(),
		incarnations: map[Source]*agentService{},
		halls:        map[fleet.Hall]*hallState{},
	}
}

// Update processes one message and returns the resulting commands in order.
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

// Totals returns the service of the whole fleet as known to this hub.
func (h *Hub) Totals() []fleet.ServiceRow {
	var sum vector
	for i := range h.teams.names {
		sum.set(i, h.total(i))
	}
	return h.teams.rows(sum)
}

// Incarnations returns the number of agent incarnations that the hub holds.
func (h *Hub) Incarnations() int { return len(h.incarnations) }

// agent returns the index of an agent in h.agents, or the index at which to
// insert it, and whether it exists.
func (h *Hub) agent(n fleet.Name) (int, bool) {
	return slices.BinarySearchFunc(h.agents, n, func(a *agentLink, n fleet.Name) int {
		return cmp.Compare(a.source.Agent, n)
	})
}

// peer returns the index of a hub in h.peers, or the index at which to insert
// it, and whether it exists.
func (h *Hub) peer(n fleet.Name) (int, bool) {
	return slices.BinarySearchFunc(h.peers, n, func(p *peerLink, n fleet.Name) int {
		return cmp.Compare(p.name, n)
	})
}

func (h *Hub) agentUp(msg AgentUpMsg) {
	i, ok := h.agent(msg.Source.Agent)
	if !ok {
		h.agents = slices.Insert(h.agents, i, &agentLink{})
		h.addHallAgent(msg)
	}
	*h.agents[i] = agentLink{source: msg.Source, hall: msg.Hall}
}

// addHallAgent counts one more linked agent of a hall. The first one starts the
// warm-up of the hall.
func (h *Hub) addHallAgent(msg AgentUpMsg) {
	s := h.hallState(msg.Hall)
	if s.linkedAgents == 0 {
		s.linkedSince = msg.Now
		s.warmedUp = false
		s.recovered = nil
	}
	s.linkedAgents++
}

func (h *Hub) agentDown(msg AgentDownMsg) {
	i, ok := h.agent(msg.Agent)
	if !ok {
		return
	}
	h.hallState(h.agents[i].hall).linkedAgents--
	h.agents = slices.Delete(h.agents, i, i+1)
}

// peerUp adds a peer hub. A peer of the same hall is sent the service of every
// incarnation, so that a hub that has just started gets the counters of those
// that have ended.
func (h *Hub) peerUp(msg PeerUpMsg) []Command {
	i, ok := h.peer(msg.Peer)
	if !ok {
		h.peers = slices.Insert(h.peers, i, &peerLink{})
	}
	*h.peers[i] = peerLink{
		name: msg.Peer, hall: msg.Hall, paired: msg.Paired,
		sent: map[fleet.Hall]vector{}, sentAll: map[fleet.Hall]bool{},
	}
	if msg.Hall != h.hall {
		return h.returnHallTotals(msg)
	}
	var cmds []Command
	for _, src := range h.sortedSources() {
		a := h.incarnations[src]
		cmds = append(cmds, AgentRowsCmd{Peer: msg.Peer, Source: src, Hall: a.hall, Rows: h.teams.rows(a.service)})
	}
	return cmds
}

// returnHallTotals sends a hub the last known totals of its own hall, in case
// all hubs of that hall have restarted.
func (h *Hub) returnHallTotals(msg PeerUpMsg) []Command {
	s, ok := h.halls[msg.Hall]
	if !ok || len(s.fromHubs) == 0 {
		return nil
	}
	return []Command{HallTotalsCmd{Peer: msg.Peer, Hall: msg.Hall, Rows: h.teams.rows(s.fromHubs)}}
}

func (h *Hub) peerDown(msg PeerDownMsg) {
	if i, ok := h.peer(msg.Peer); ok {
		h.peers = slices.Delete(h.peers, i, i+1)
	}
}

func (h *Hub) sortedSources() []Source {
	out := make([]Source, 0, len(h.incarnations))
	for s := range h.incarnations {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Agent, b.Agent), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// service raises the counters of one incarnation and the sum of its hall.
func (h *Hub) service(msg ServiceMsg) {
	a, ok := h.incarnations[msg.Source]
	if !ok {
		a = &agentService{hall: msg.Hall}
		h.incarnations[msg.Source] = a
	}
	sum := &h.hallState(a.hall).fromAgents
	for _, r := range msg.Rows {
		i := h.teams.indexOf(r.Team)
		increase := a.service.merge(i, entry{service: r.Service, lift: r.Lift})
		sum.add(i, entry{service: increase, lift: r.Lift})
		h.changed.mark(i)
	}
}

func (h *Hub) hallState(hall fleet.Hall) *hallState {
	s, ok := h.halls[hall]
	if !ok {
		s = &hallState{}
		h.halls[hall] = s
		i, _ := slices.BinarySearch(h.hallNames, hall)
		h.hallNames = slices.Insert(h.hallNames, i, hall)
	}
	return s
}

// hallTotals merges the totals that another hub reports for a hall.
func (h *Hub) hallTotals(msg HallTotalsMsg) {
	s := h.hallState(msg.Hall)
	for _, r := range msg.Rows {
		i := h.teams.indexOf(r.Team)
		s.fromHubs.merge(i, entry{service: r.Service, lift: r.Lift})
		h.changed.mark(i)
	}
}

// total returns the fleet-wide counters of the team at index i.
func (h *Hub) total(i int) entry {
	var e entry
	for _, hall := range h.hallNames {
		part := h.halls[hall].at(i)
		e.service += part.service
		e.lift = max(e.lift, part.lift)
	}
	return e
}

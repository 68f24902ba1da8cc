package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const shareEvery = 100 * time.Millisecond

// simulation runs two hubs in each of two halls, with agents whose actual
// service is known. Messages may be lost, repeated and reordered.
type simulation struct {
	now      time.Duration
	hubs     []*Hub
	halls    []fleet.Hall // by hub
	agents   []*simAgent
	inFlight []message
	served   map[fleet.Team]time.Duration
	reported map[fleet.Name]serviceByTeam // largest service of other agents reported to each agent
}

type simAgent struct {
	src  Source
	hall fleet.Hall
	own  serviceByTeam
}

// serviceByTeam holds slot time by team.
type serviceByTeam map[fleet.Team]time.Duration

func (t serviceByTeam) rows() []fleet.ServiceRow {
	var out []fleet.ServiceRow
	for team, d := range t {
		out = append(out, fleet.ServiceRow{Team: team, Service: d})
	}
	return out
}

type message struct {
	from int // sending hub, or -1 for an agent
	hub  int
	msg  Msg
}

func newSimulation() *simulation {
	s := &simulation{served: map[fleet.Team]time.Duration{}, reported: map[fleet.Name]serviceByTeam{}, now: time.Second}
	for i := range 4 {
		s.halls = append(s.halls, fleet.Hall([]string{"a", "b"}[i/2]))
		s.hubs = append(s.hubs, NewHub(s.hubName(i), s.halls[i]))
	}
	for i := range 4 {
		s.agents = append(s.agents, &simAgent{
			src: Source{Agent: fleet.Name(fmt.Sprintf("e%d", i)), Incarnation: 1}, hall: s.halls[i], own: serviceByTeam{},
		})
	}
	for i := range s.hubs {
		s.connect(i)
	}
	return s
}

func (s *simulation) hubName(i int) fleet.Name { return fleet.Name(fmt.Sprintf("h%d", i)) }

// connect links a hub that has just started to its agents and peers.
func (s *simulation) connect(i int) {
	for _, a := range s.agents {
		if a.hall != s.halls[i] {
			continue
		}
		s.perform(i, s.hubs[i].Update(AgentUpMsg{Now: s.now, Source: a.src, Hall: a.hall}))
		s.report(a, i)
	}
	for j := range s.hubs {
		if j == i {
			continue
		}
		paired := s.halls[i] != s.halls[j] && i%2 == j%2
		s.perform(i, s.hubs[i].Update(PeerUpMsg{Now: s.now, Peer: s.hubName(j), Hall: s.halls[j], Paired: paired}))
		s.perform(j, s.hubs[j].Update(PeerUpMsg{Now: s.now, Peer: s.hubName(i), Hall: s.halls[i], Paired: paired}))
	}
}

func (s *simulation) perform(from int, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case HallTotalsCmd:
			s.send(from, c.Peer, HallTotalsMsg{Now: s.now, Hall: c.Hall, Rows: c.Rows})
		case AgentRowsCmd:
			s.send(from, c.Peer, ServiceMsg{Now: s.now, Source: c.Source, Hall: c.Hall, Rows: c.Rows})
		case TotalsCmd:
			v, ok := s.reported[c.Agent]
			if !ok {
				v = serviceByTeam{}
				s.reported[c.Agent] = v
			}
			for _, r := range c.Rows {
				v[r.Team] = max(v[r.Team], r.Service)
			}
		}
	}
}

func (s *simulation) send(from int, hub fleet.Name, m Msg) {
	for i := range s.hubs {
		if s.hubName(i) == hub {
			s.inFlight = append(s.inFlight, message{from, i, m})
		}
	}
}

// serve adds service by an agent to a team.
func (s *simulation) serve(a *simAgent, team fleet.Team, d time.Duration) {
	a.own[team] += d
	s.served[team] += d
}

// report sends an agent's counters to a hub of its hall.
func (s *simulation) report(a *simAgent, hub int) {
	s.inFlight = append(s.inFlight, message{-1, hub, ServiceMsg{Now: s.now, Source: a.src, Hall: a.hall, Rows: a.own.rows()}})
}

func (s *simulation) tick() {
	s.now += TickInterval
	for i, h := range s.hubs {
		s.perform(i, h.Update(TickMsg{Now: s.now, ShareEvery: shareEvery}))
	}
}

// converge lets all agents report and delivers all messages, for 100 ticks.
func (s *simulation) converge() {
	for range 100 {
		s.tick()
		for i := range s.hubs {
			for _, a := range s.agents {
				if a.hall == s.halls[i] {
					s.report(a, i)
				}
			}
		}
		s.deliverAll()
	}
}

func (s *simulation) deliverAll() {
	messages := s.inFlight
	s.inFlight = nil
	for _, m := range messages {
		s.perform(m.hub, s.hubs[m.hub].Update(m.msg))
	}
}

// TestHubsConverge loses, repeats and reorders messages and restarts agents and
// hubs, one hub of a hall at a time. It checks that no hub ever counts more
// service than was given, that no agent is ever sent more than the others gave,
// and that all hubs finally hold the actual totals.
func TestHubsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation()
		s.converge()
		for range rapid.IntRange(1, 120).Draw(rt, "events") {
			s.step(rt)
			s.checkNoOvercount(rt)
		}
		s.converge()
		s.checkNoOvercount(rt)
		for i, h := range s.hubs {
			for _, r := range h.Totals() {
				if r.Service != s.served[r.Team] {
					rt.Fatalf("hub %d counts %v for team %s, want %v", i, r.Service, r.Team, s.served[r.Team])
				}
			}
		}
	})
}

func (s *simulation) step(rt *rapid.T) {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
	a := s.agents[pick(len(s.agents))]
	switch pick(10) {
	case 0, 1, 2:
		s.serve(a, []fleet.Team{"x", "y"}[pick(2)], time.Duration(1+pick(50))*time.Millisecond)
	case 3:
		s.report(a, boolInt(a.hall == "b")*2+pick(2))
	case 4:
		s.tick()
	case 5:
		s.deliverAll()
	case 6: // lose a message
		if n := len(s.inFlight); n > 0 {
			i := pick(n)
			m := s.inFlight[i]
			s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
			s.reconnect(m)
		}
	case 7: // repeat and reorder a message
		if n := len(s.inFlight); n > 0 {
			s.inFlight = append(s.inFlight, s.inFlight[pick(n)])
		}
	case 8: // an agent restarts without state, after a last report
		for i := range s.hubs {
			if s.halls[i] == a.hall {
				s.perform(i, s.hubs[i].Update(ServiceMsg{Now: s.now, Source: a.src, Hall: a.hall, Rows: a.own.rows()}))
				s.perform(i, s.hubs[i].Update(AgentDownMsg{Now: s.now, Agent: a.src.Agent}))
			}
		}
		a.src.Incarnation++
		a.own = serviceByTeam{}
		delete(s.reported, a.src.Agent)
		for i := range s.hubs {
			if s.halls[i] == a.hall {
				s.perform(i, s.hubs[i].Update(AgentUpMsg{Now: s.now, Source: a.src, Hall: a.hall}))
			}
		}
	case 9: // a hub restarts without state; the other hub of its hall keeps its counters
		i := pick(len(s.hubs))
		for j, h := range s.hubs {
			if j != i {
				s.perform(j, h.Update(PeerDownMsg{Now: s.now, Peer: s.hubName(i)}))
			}
		}
		s.hubs[i] = NewHub(s.hubName(i), s.halls[i])
		s.connect(i)
		s.deliverTo(i)
	}
}

// reconnect replaces the link on which a message was lost, since TCP loses
// messages only when a connection breaks.
func (s *simulation) reconnect(m message) {
	if m.from < 0 {
		return // agents report all their counters repeatedly
	}
	paired := s.halls[m.from] != s.halls[m.hub] && m.from%2 == m.hub%2
	s.perform(m.from, s.hubs[m.from].Update(PeerDownMsg{Now: s.now, Peer: s.hubName(m.hub)}))
	s.perform(m.from, s.hubs[m.from].Update(PeerUpMsg{Now: s.now, Peer: s.hubName(m.hub), Hall: s.halls[m.hub], Paired: paired}))
}

// deliverTo delivers all messages that are in flight to a hub, so that none of
// its first messages is lost.
func (s *simulation) deliverTo(hub int) {
	var rest []message
	for _, m := range s.inFlight {
		if m.hub == hub {
			s.perform(hub, s.hubs[hub].Update(m.msg))
			continue
		}
		rest = append(rest, m)
	}
	s.inFlight = rest
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// checkNoOvercount checks that no hub and no agent counts more service than was
// given.
func (s *simulation) checkNoOvercount(rt *rapid.T) {
	for i, h := range s.hubs {
		for _, r := range h.Totals() {
			if r.Service > s.served[r.Team] {
				rt.Fatalf("hub %d counts %v for team %s, want at most %v", i, r.Service, r.Team, s.served[r.Team])
			}
		}
	}
	for _, a := range s.agents {
		for team, reported := range s.reported[a.src.Agent] {
			if others := s.served[team] - a.own[team]; reported > others {
				rt.Fatalf("agent %s was sent %v for team %s, want at most %v", a.src.Agent, reported, team, others)
			}
		}
	}
}

// TestBothHubsRestart checks that the service of an ended agent incarnation is
// recovered from the hubs of other halls after all hubs of its own hall have
// restarted.
func TestBothHubsRestart(t *testing.T) {
	s := newSimulation()
	s.converge()
	restarted := s.agents[0]
	s.serve(restarted, "x", time.Second)
	s.converge()
	restarted.src.Incarnation++
	restarted.own = serviceByTeam{}
	for i := range 2 {
		s.hubs[i] = NewHub(s.hubName(i), "a")
	}
	for i := range 2 {
		s.connect(i)
	}
	s.converge()
	for i, h := range s.hubs {
		require.Equal(t, []fleet.ServiceRow{{Team: "x", Service: time.Second}}, h.Totals(), "hub %d", i)
	}
}

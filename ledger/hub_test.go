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

// serviceByTeam is slot time by team.
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
	w := &simulation{served: map[fleet.Team]time.Duration{}, reported: map[fleet.Name]serviceByTeam{}, now: time.Second}
	for i := range 4 {
		w.halls = append(w.halls, fleet.Hall([]string{"a", "b"}[i/2]))
		w.hubs = append(w.hubs, NewHub(w.hubName(i), w.halls[i]))
	}
	for i := range 4 {
		w.agents = append(w.agents, &simAgent{
			src: Source{Agent: fleet.Name(fmt.Sprintf("e%d", i)), Incarnation: 1}, hall: w.halls[i], own: serviceByTeam{},
		})
	}
	for i := range w.hubs {
		w.connect(i)
	}
	return w
}

func (w *simulation) hubName(i int) fleet.Name { return fleet.Name(fmt.Sprintf("h%d", i)) }

// connect connects a hub that has just started to its agents and peers.
func (w *simulation) connect(i int) {
	for _, a := range w.agents {
		if a.hall != w.halls[i] {
			continue
		}
		w.perform(i, w.hubs[i].Update(AgentUpMsg{Now: w.now, Source: a.src, Hall: a.hall}))
		w.report(a, i)
	}
	for j := range w.hubs {
		if j == i {
			continue
		}
		pair := w.halls[i] != w.halls[j] && i%2 == j%2
		w.perform(i, w.hubs[i].Update(PeerUpMsg{Now: w.now, Peer: w.hubName(j), Hall: w.halls[j], Paired: pair}))
		w.perform(j, w.hubs[j].Update(PeerUpMsg{Now: w.now, Peer: w.hubName(i), Hall: w.halls[i], Paired: pair}))
	}
}

func (w *simulation) perform(from int, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case HallTotalsCmd:
			w.send(from, c.Peer, HallTotalsMsg{Now: w.now, Hall: c.Hall, Rows: c.Rows})
		case AgentRowsCmd:
			w.send(from, c.Peer, ServiceMsg{Now: w.now, Source: c.Source, Hall: c.Hall, Rows: c.Rows})
		case TotalsCmd:
			v, ok := w.reported[c.Agent]
			if !ok {
				v = serviceByTeam{}
				w.reported[c.Agent] = v
			}
			for _, r := range c.Rows {
				v[r.Team] = max(v[r.Team], r.Service)
			}
		}
	}
}

func (w *simulation) send(from int, hub fleet.Name, m Msg) {
	for i := range w.hubs {
		if w.hubName(i) == hub {
			w.inFlight = append(w.inFlight, message{from, i, m})
		}
	}
}

// serve adds service by an agent to a team.
func (w *simulation) serve(a *simAgent, team fleet.Team, d time.Duration) {
	a.own[team] += d
	w.served[team] += d
}

// report sends an agent's counters to a hub of its hall.
func (w *simulation) report(a *simAgent, hub int) {
	w.inFlight = append(w.inFlight, message{-1, hub, ServiceMsg{Now: w.now, Source: a.src, Hall: a.hall, Rows: a.own.rows()}})
}

func (w *simulation) tick() {
	w.now += TickInterval
	for i, h := range w.hubs {
		w.perform(i, h.Update(TickMsg{Now: w.now, ShareEvery: shareEvery}))
	}
}

// converge lets all agents report and delivers all messages, for 100 ticks.
func (w *simulation) converge() {
	for range 100 {
		w.tick()
		for i := range w.hubs {
			for _, a := range w.agents {
				if a.hall == w.halls[i] {
					w.report(a, i)
				}
			}
		}
		w.deliverAll()
	}
}

func (w *simulation) deliverAll() {
	messages := w.inFlight
	w.inFlight = nil
	for _, m := range messages {
		w.perform(m.hub, w.hubs[m.hub].Update(m.msg))
	}
}

// TestHubsConverge loses, repeats and reorders messages and restarts agents and
// hubs, one hub of a hall at a time. It checks that no hub ever counts more
// service than was given, that no agent is ever sent more than the others gave,
// and that all hubs finally hold the actual totals.
func TestHubsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation()
		w.converge()
		for range rapid.IntRange(1, 120).Draw(rt, "events") {
			w.step(rt)
			w.checkNoOvercount(rt)
		}
		w.converge()
		w.checkNoOvercount(rt)
		for i, h := range w.hubs {
			for _, r := range h.Totals() {
				if r.Service != w.served[r.Team] {
					rt.Fatalf("hub %d counts %v for team %s, want %v", i, r.Service, r.Team, w.served[r.Team])
				}
			}
		}
	})
}

func (w *simulation) step(rt *rapid.T) {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
	a := w.agents[pick(len(w.agents))]
	switch pick(10) {
	case 0, 1, 2:
		w.serve(a, []fleet.Team{"x", "y"}[pick(2)], time.Duration(1+pick(50))*time.Millisecond)
	case 3:
		w.report(a, boolInt(a.hall == "b")*2+pick(2))
	case 4:
		w.tick()
	case 5:
		w.deliverAll()
	case 6: // lose a message
		if n := len(w.inFlight); n > 0 {
			i := pick(n)
			m := w.inFlight[i]
			w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
			w.reconnect(m)
		}
	case 7: // repeat and reorder a message
		if n := len(w.inFlight); n > 0 {
			w.inFlight = append(w.inFlight, w.inFlight[pick(n)])
		}
	case 8: // an agent restarts without state, after a last report
		for i := range w.hubs {
			if w.halls[i] == a.hall {
				w.perform(i, w.hubs[i].Update(ServiceMsg{Now: w.now, Source: a.src, Hall: a.hall, Rows: a.own.rows()}))
				w.perform(i, w.hubs[i].Update(AgentDownMsg{Now: w.now, Agent: a.src.Agent}))
			}
		}
		a.src.Incarnation++
		a.own = serviceByTeam{}
		delete(w.reported, a.src.Agent)
		for i := range w.hubs {
			if w.halls[i] == a.hall {
				w.perform(i, w.hubs[i].Update(AgentUpMsg{Now: w.now, Source: a.src, Hall: a.hall}))
			}
		}
	case 9: // a hub restarts without state; the other hub of its hall keeps its counters
		i := pick(len(w.hubs))
		for j, h := range w.hubs {
			if j != i {
				w.perform(j, h.Update(PeerDownMsg{Now: w.now, Peer: w.hubName(i)}))
			}
		}
		w.hubs[i] = NewHub(w.hubName(i), w.halls[i])
		w.connect(i)
		w.deliverTo(i)
	}
}

// reconnect replaces the link on which a message was lost, since TCP loses
// messages only when a connection breaks.
func (w *simulation) reconnect(m message) {
	if m.from < 0 {
		return // agents report all their counters repeatedly
	}
	pair := w.halls[m.from] != w.halls[m.hub] && m.from%2 == m.hub%2
	w.perform(m.from, w.hubs[m.from].Update(PeerDownMsg{Now: w.now, Peer: w.hubName(m.hub)}))
	w.perform(m.from, w.hubs[m.from].Update(PeerUpMsg{Now: w.now, Peer: w.hubName(m.hub), Hall: w.halls[m.hub], Paired: pair}))
}

// deliverTo delivers all messages to a new hub before any can be lost.
func (w *simulation) deliverTo(hub int) {
	var rest []message
	for _, m := range w.inFlight {
		if m.hub == hub {
			w.perform(hub, w.hubs[hub].Update(m.msg))
			continue
		}
		rest = append(rest, m)
	}
	w.inFlight = rest
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// checkNoOvercount checks that no hub and no agent counts more service than was
// given.
func (w *simulation) checkNoOvercount(rt *rapid.T) {
	for i, h := range w.hubs {
		for _, r := range h.Totals() {
			if r.Service > w.served[r.Team] {
				rt.Fatalf("hub %d counts %v for team %s, want at most %v", i, r.Service, r.Team, w.served[r.Team])
			}
		}
	}
	for _, a := range w.agents {
		for team, reported := range w.reported[a.src.Agent] {
			if others := w.served[team] - a.own[team]; reported > others {
				rt.Fatalf("agent %s was sent %v for team %s, want at most %v", a.src.Agent, reported, team, others)
			}
		}
	}
}

// TestBothHubsRestart checks that the service of an ended agent incarnation is
// recovered from the hubs of other halls after all hubs of its own hall have
// restarted.
func TestBothHubsRestart(t *testing.T) {
	w := newSimulation()
	w.converge()
	restarted := w.agents[0]
	w.serve(restarted, "x", time.Second)
	w.converge()
	restarted.src.Incarnation++
	restarted.own = serviceByTeam{}
	for i := range 2 {
		w.hubs[i] = NewHub(w.hubName(i), "a")
	}
	for i := range 2 {
		w.connect(i)
	}
	w.converge()
	for i, h := range w.hubs {
		require.Equal(t, []fleet.ServiceRow{{Team: "x", Service: time.Second}}, h.Totals(), "hub %d", i)
	}
}

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

// simulation is two hubs in each of two halls, with agents whose true service is
// known. Messages may be lost, repeated and reordered.
type simulation struct {
	now      time.Duration
	hubs     []*Hub
	halls    []fleet.Hall // by hub
	agents   []*simAgent
	inFlight []message
	served   map[fleet.Team]time.Duration
	reported map[fleet.Name]serviceByTeam // the most that each agent was told of the others
}

type simAgent struct {
	src  Source
	hall fleet.Hall
	own  serviceByTeam
}

// serviceByTeam is service by team.
type serviceByTeam map[fleet.Team]time.Duration

func (t serviceByTeam) rows() []fleet.ServiceRow {
	var out []fleet.ServiceRow
	for team, d := range t {
		out = append(out, fleet.ServiceRow{Team: team, Service: d})
	}
	return out
}

type message struct {
	from int // the hub that sent it, or -1 for an agent
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

// connect links a hub that has just started with its agents and peers.
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

// serve lets an agent give a team service.
func (w *simulation) serve(a *simAgent, team fleet.Team, d time.Duration) {
	a.own[team] += d
	w.served[team] += d
}

// report sends an agent's counters to a hub of its hall.
func (w *simulation) report(a *simAgent, hub int) {
	w.inFlight = append(w.inFlight, message{-1, hub, ServiceMsg{Now: w.now, Source: a.src, Hall: a.hall, Rows: a.own.rows()}})
}

func (w *simulation) tick() {
	w.now += TickEvery
	for i, h := range w.hubs {
		w.perform(i, h.Update(TickMsg{Now: w.now, ShareEvery: shareEvery}))
	}
}

// converge delivers everything and lets all report.
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
	for _, l := range messages {
		w.perform(l.hub, w.hubs[l.hub].Update(l.msg))
	}
}

// TestHubsConverge loses, repeats and reorders messages, restarts agents and,
// one of a hall at a time, hubs. No hub ever counts more than was served, no
// agent is ever told more than the others served, and in the end all agree on
// the truth.
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
					rt.Fatalf("hub %d counts %v of %s, truth %v", i, r.Service, r.Team, w.served[r.Team])
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
	case 6: // lose
		if n := len(w.inFlight); n > 0 {
			i := pick(n)
			l := w.inFlight[i]
			w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
			w.reconnect(l)
		}
	case 7: // repeat and reorder
		if n := len(w.inFlight); n > 0 {
			w.inFlight = append(w.inFlight, w.inFlight[pick(n)])
		}
	case 8: // an agent restarts with no state, after a last report
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
	case 9: // a hub restarts with no state; the other of its hall remembers
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

// reconnect makes a link anew on which a message was lost: that is the only way
// in which TCP loses one.
func (w *simulation) reconnect(l message) {
	if l.from < 0 {
		return // agents report all that they have, again and again
	}
	pair := w.halls[l.from] != w.halls[l.hub] && l.from%2 == l.hub%2
	w.perform(l.from, w.hubs[l.from].Update(PeerDownMsg{Now: w.now, Peer: w.hubName(l.hub)}))
	w.perform(l.from, w.hubs[l.from].Update(PeerUpMsg{Now: w.now, Peer: w.hubName(l.hub), Hall: w.halls[l.hub], Paired: pair}))
}

// deliverTo delivers what a new hub is told, before anything is lost.
func (w *simulation) deliverTo(hub int) {
	var rest []message
	for _, l := range w.inFlight {
		if l.hub == hub {
			w.perform(hub, w.hubs[hub].Update(l.msg))
			continue
		}
		rest = append(rest, l)
	}
	w.inFlight = rest
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// checkNoOvercount holds that nobody counts more than was served.
func (w *simulation) checkNoOvercount(rt *rapid.T) {
	for i, h := range w.hubs {
		for _, r := range h.Totals() {
			if r.Service > w.served[r.Team] {
				rt.Fatalf("hub %d counts %v of %s, truth %v", i, r.Service, r.Team, w.served[r.Team])
			}
		}
	}
	for _, a := range w.agents {
		for team, reported := range w.reported[a.src.Agent] {
			if others := w.served[team] - a.own[team]; reported > others {
				rt.Fatalf("%s was told %v of %s, the others served %v", a.src.Agent, reported, team, others)
			}
		}
	}
}

// TestBothHubsRestart holds that what only other halls remember of a hall
// whose hubs have all started anew is carried on.
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

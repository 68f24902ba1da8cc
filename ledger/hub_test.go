package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const share = 100 * time.Millisecond

// world is two hubs in each of two halls, with agents whose true service is
// known. Messages may be lost, repeated and reordered.
type world struct {
	now    time.Duration
	hubs   []*Hub
	halls  []fleet.Hall // by hub
	agents []*worldAgent
	mail   []letter
	truth  map[fleet.Team]time.Duration
	told   map[fleet.Name]tally // the most that each agent was told of the others
}

type worldAgent struct {
	src  Source
	hall fleet.Hall
	own  tally
}

// tally is service by team.
type tally map[fleet.Team]time.Duration

func (t tally) rows() []fleet.ServiceRow {
	var out []fleet.ServiceRow
	for team, d := range t {
		out = append(out, fleet.ServiceRow{Team: team, Service: d})
	}
	return out
}

type letter struct {
	from int // the hub that sent it, or -1 for an agent
	hub  int
	msg  Msg
}

func newWorld() *world {
	w := &world{truth: map[fleet.Team]time.Duration{}, told: map[fleet.Name]tally{}, now: time.Second}
	for i := range 4 {
		w.halls = append(w.halls, fleet.Hall([]string{"a", "b"}[i/2]))
		w.hubs = append(w.hubs, NewHub(w.hubName(i), w.halls[i]))
	}
	for i := range 4 {
		w.agents = append(w.agents, &worldAgent{
			src: Source{Agent: fleet.Name(fmt.Sprintf("e%d", i)), Incarnation: 1}, hall: w.halls[i], own: tally{},
		})
	}
	for i := range w.hubs {
		w.connect(i)
	}
	return w
}

func (w *world) hubName(i int) fleet.Name { return fleet.Name(fmt.Sprintf("h%d", i)) }

// connect links a hub that has just started with its agents and peers.
func (w *world) connect(i int) {
	for _, a := range w.agents {
		if a.hall != w.halls[i] {
			continue
		}
		w.do(i, w.hubs[i].Update(AgentUpMsg{Now: w.now, Source: a.src, Hall: a.hall}))
		w.report(a, i)
	}
	for j := range w.hubs {
		if j == i {
			continue
		}
		pair := w.halls[i] != w.halls[j] && i%2 == j%2
		w.do(i, w.hubs[i].Update(PeerUpMsg{Now: w.now, Peer: w.hubName(j), Hall: w.halls[j], Paired: pair}))
		w.do(j, w.hubs[j].Update(PeerUpMsg{Now: w.now, Peer: w.hubName(i), Hall: w.halls[i], Paired: pair}))
	}
}

func (w *world) do(from int, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case HallTotalsCmd:
			w.post(from, c.Peer, HallTotalsMsg{Now: w.now, Hall: c.Hall, Rows: c.Rows})
		case AgentRowsCmd:
			w.post(from, c.Peer, ServiceMsg{Now: w.now, Source: c.Source, Hall: c.Hall, Rows: c.Rows})
		case TotalsCmd:
			v, ok := w.told[c.Agent]
			if !ok {
				v = tally{}
				w.told[c.Agent] = v
			}
			for _, r := range c.Rows {
				v[r.Team] = max(v[r.Team], r.Service)
			}
		}
	}
}

func (w *world) post(from int, hub fleet.Name, m Msg) {
	for i := range w.hubs {
		if w.hubName(i) == hub {
			w.mail = append(w.mail, letter{from, i, m})
		}
	}
}

// serve lets an agent give a team service.
func (w *world) serve(a *worldAgent, team fleet.Team, d time.Duration) {
	a.own[team] += d
	w.truth[team] += d
}

// report sends an agent's counters to a hub of its hall.
func (w *world) report(a *worldAgent, hub int) {
	w.mail = append(w.mail, letter{-1, hub, ServiceMsg{Now: w.now, Source: a.src, Hall: a.hall, Rows: a.own.rows()}})
}

func (w *world) tick() {
	w.now += TickEvery
	for i, h := range w.hubs {
		w.do(i, h.Update(TickMsg{Now: w.now, ShareEvery: share}))
	}
}

// settle delivers everything and lets all report.
func (w *world) settle() {
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

func (w *world) deliverAll() {
	mail := w.mail
	w.mail = nil
	for _, l := range mail {
		w.do(l.hub, w.hubs[l.hub].Update(l.msg))
	}
}

// TestHubsConverge loses, repeats and reorders messages, restarts agents and,
// one of a hall at a time, hubs. No hub ever counts more than was served, no
// agent is ever told more than the others served, and in the end all agree on
// the truth.
func TestHubsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		w.settle()
		for range rapid.IntRange(1, 120).Draw(rt, "events") {
			w.event(rt)
			w.check(rt)
		}
		w.settle()
		w.check(rt)
		for i, h := range w.hubs {
			for _, r := range h.Totals() {
				if r.Service != w.truth[r.Team] {
					rt.Fatalf("hub %d counts %v of %s, truth %v", i, r.Service, r.Team, w.truth[r.Team])
				}
			}
		}
	})
}

func (w *world) event(rt *rapid.T) {
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
		if n := len(w.mail); n > 0 {
			i := pick(n)
			l := w.mail[i]
			w.mail = append(w.mail[:i:i], w.mail[i+1:]...)
			w.relink(l)
		}
	case 7: // repeat and reorder
		if n := len(w.mail); n > 0 {
			w.mail = append(w.mail, w.mail[pick(n)])
		}
	case 8: // an agent restarts with no state, after a last report
		for i := range w.hubs {
			if w.halls[i] == a.hall {
				w.do(i, w.hubs[i].Update(ServiceMsg{Now: w.now, Source: a.src, Hall: a.hall, Rows: a.own.rows()}))
				w.do(i, w.hubs[i].Update(AgentDownMsg{Now: w.now, Agent: a.src.Agent}))
			}
		}
		a.src.Incarnation++
		a.own = tally{}
		delete(w.told, a.src.Agent)
		for i := range w.hubs {
			if w.halls[i] == a.hall {
				w.do(i, w.hubs[i].Update(AgentUpMsg{Now: w.now, Source: a.src, Hall: a.hall}))
			}
		}
	case 9: // a hub restarts with no state; the other of its hall remembers
		i := pick(len(w.hubs))
		for j, h := range w.hubs {
			if j != i {
				w.do(j, h.Update(PeerDownMsg{Now: w.now, Peer: w.hubName(i)}))
			}
		}
		w.hubs[i] = NewHub(w.hubName(i), w.halls[i])
		w.connect(i)
		w.settleNews(i)
	}
}

// relink makes a link anew on which a message was lost: that is the only way
// in which TCP loses one.
func (w *world) relink(l letter) {
	if l.from < 0 {
		return // agents report all that they have, again and again
	}
	pair := w.halls[l.from] != w.halls[l.hub] && l.from%2 == l.hub%2
	w.do(l.from, w.hubs[l.from].Update(PeerDownMsg{Now: w.now, Peer: w.hubName(l.hub)}))
	w.do(l.from, w.hubs[l.from].Update(PeerUpMsg{Now: w.now, Peer: w.hubName(l.hub), Hall: w.halls[l.hub], Paired: pair}))
}

// settleNews delivers what a new hub is told, before anything is lost.
func (w *world) settleNews(hub int) {
	var rest []letter
	for _, l := range w.mail {
		if l.hub == hub {
			w.do(hub, w.hubs[hub].Update(l.msg))
			continue
		}
		rest = append(rest, l)
	}
	w.mail = rest
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// check holds that nobody counts more than was served.
func (w *world) check(rt *rapid.T) {
	for i, h := range w.hubs {
		for _, r := range h.Totals() {
			if r.Service > w.truth[r.Team] {
				rt.Fatalf("hub %d counts %v of %s, truth %v", i, r.Service, r.Team, w.truth[r.Team])
			}
		}
	}
	for _, a := range w.agents {
		for team, told := range w.told[a.src.Agent] {
			if others := w.truth[team] - a.own[team]; told > others {
				rt.Fatalf("%s was told %v of %s, the others served %v", a.src.Agent, told, team, others)
			}
		}
	}
}

// TestBothHubsRestart holds that what only other halls remember of a hall
// whose hubs have all started anew is carried on.
func TestBothHubsRestart(t *testing.T) {
	w := newWorld()
	w.settle()
	gone := w.agents[0]
	w.serve(gone, "x", time.Second)
	w.settle()
	gone.src.Incarnation++
	gone.own = tally{}
	for i := range 2 {
		w.hubs[i] = NewHub(w.hubName(i), "a")
	}
	for i := range 2 {
		w.connect(i)
	}
	w.settle()
	for i, h := range w.hubs {
		require.Equal(t, []fleet.ServiceRow{{Team: "x", Service: time.Second}}, h.Totals(), "hub %d", i)
	}
}

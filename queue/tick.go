package queue

import (
	"container/heap"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

const (
	// unclaimedFor is how long a line's oldest request must have waited before
	// agents are told of the line: one that has only just come may be granted to
	// an open claim, or claimed by an agent that knows the line already.
	unclaimedFor = TickEvery / 2
	// emptyFor is how long a line must have been empty before agents are told.
	// A Deny tells them sooner where it matters.
	emptyFor = time.Second
	// tellPerRequest is how many agents should know of each waiting request. A
	// short line that all knew would draw a claim from each, most in vain.
	tellPerRequest = 2
	// tellMoreEvery is the wait after which one more agent should know.
	tellMoreEvery = 100 * time.Millisecond
)

// tick ends waits that have lasted too long and tells agents of lines that
// they should know. It looks at each line, not at each pair of line and agent.
func (m *Machine) tick(msg TickMsg) []Command {
	cmds := m.expire(msg)
	for _, t := range m.byTeam {
		t.decay(msg.Now)
	}
	for _, l := range m.order {
		m.spread(msg.Now, l)
	}
	return append(cmds, m.flush()...)
}

func (m *Machine) expire(msg TickMsg) []Command {
	var cmds []Command
	for len(m.expiry) > 0 && m.expiry[0].expires <= msg.Now {
		r := heap.Pop(&m.expiry).(*request)
		m.drop(msg.Now, r)
		c := m.refusalAfterRuns(r, ReasonWaitedTooLong)
		c.RetryAfter = jitter(r.ID, m.team(r.Key.Team).expectedWait())
		cmds = append(cmds, c)
	}
	return cmds
}

// spread has agents told of one line: all that believe in it when it has long
// been empty or has grown much, else as many more as should know.
func (m *Machine) spread(now time.Duration, l *line) {
	if l.waiting == 0 {
		l.base = 0
		if l.known > 0 && now-l.emptied >= emptyFor {
			m.tellKnowing(l, fleet.Count{Key: l.key})
		}
		return
	}
	c := l.count(now)
	if c.OldestAge < unclaimedFor {
		return
	}
	if l.base > 0 && l.waiting >= growth*l.base {
		m.tellKnowing(l, c)
		l.base = l.waiting
	}
	m.tellMore(l, c)
}

// tellKnowing corrects the count of every agent that believes in a line.
func (m *Machine) tellKnowing(l *line, c fleet.Count) {
	for _, a := range m.agents {
		if a.told[l.key] > 0 {
			m.queueTell(a, l, c)
		}
	}
}

// tellMore lets enough agents know of a line: a few for each request that
// waits, and more the longer the oldest waits.
func (m *Machine) tellMore(l *line, c fleet.Count) {
	want := 1 + tellPerRequest*l.waiting + int(c.OldestAge/tellMoreEvery)
	if l.known >= min(want, len(m.agents)) {
		return
	}
	if l.base == 0 {
		l.base = l.waiting
	}
	n := len(m.agents)
	for i := 0; i < n && l.known < want; i++ {
		l.cursor++
		a := m.agents[l.cursor%n]
		if a.told[l.key] == 0 && a.runs(l.key.Work) {
			m.queueTell(a, l, c)
		}
	}
}

// queueTell adds a count to what an agent is told at the end of the tick.
func (m *Machine) queueTell(a *agentView, l *line, c fleet.Count) {
	a.knows(l, c.Waiting)
	if len(a.untold) == 0 {
		m.untold = append(m.untold, a)
	}
	a.untold = append(a.untold, c)
}

// flush sends each agent all that this tick has for it, in one message.
func (m *Machine) flush() []Command {
	var cmds []Command
	for _, a := range m.untold {
		cmds = append(cmds, DemandCmd{Agent: a.name, Counts: a.untold})
		a.untold = nil
	}
	m.untold = nil
	return cmds
}

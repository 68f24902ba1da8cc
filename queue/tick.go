package queue

import (
	"container/heap"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

const (
	// announceDelay is how long a line's oldest request must have waited before
	// agents are told of the line: one that has only just come may be granted to
	// an open claim, or claimed by an agent that knows the line already.
	announceDelay = TickEvery / 2
	// emptyDelay is how long a line must have been empty before agents are told.
	// A Deny tells them sooner where it matters.
	emptyDelay = time.Second
	// informedPerRequest is how many agents should know of each waiting request. A
	// short line that all knew would draw a claim from each, most in vain.
	informedPerRequest = 2
	// informMoreEvery is the wait after which one more agent should know.
	informMoreEvery = 100 * time.Millisecond
)

// tick ends waits that have lasted too long and tells agents of lines that
// they should know. It looks at each line, not at each pair of line and agent.
func (m *Machine) tick(msg TickMsg) []Command {
	cmds := m.expire(msg)
	for _, t := range m.byTeam {
		t.rotateWindow(msg.Now)
	}
	for _, l := range m.ordered {
		m.updateAgents(msg.Now, l)
	}
	return append(cmds, m.flush()...)
}

func (m *Machine) expire(msg TickMsg) []Command {
	var cmds []Command
	for len(m.expiry) > 0 && m.expiry[0].expiresAt <= msg.Now {
		r := heap.Pop(&m.expiry).(*request)
		m.removeWaiting(msg.Now, r)
		c := m.refusalAfterRuns(r, ReasonWaitedTooLong)
		c.RetryAfter = jitter(r.ID, m.team(r.Key.Team).expectedWait())
		cmds = append(cmds, c)
	}
	return cmds
}

// updateAgents has agents told of one line: all that believe in it when it has long
// been empty or has grown much, else as many more as should know.
func (m *Machine) updateAgents(now time.Duration, l *requestQueue) {
	if l.waiting == 0 {
		l.baseline = 0
		if l.informedAgents > 0 && now-l.lastRemoved >= emptyDelay {
			m.updateInformed(l, fleet.Count{Key: l.key})
		}
		return
	}
	c := l.count(now)
	if c.OldestAge < announceDelay {
		return
	}
	if l.baseline > 0 && l.waiting >= resendGrowth*l.baseline {
		m.updateInformed(l, c)
		l.baseline = l.waiting
	}
	m.informMore(l, c)
}

// updateInformed corrects the count of every agent that believes in a line.
func (m *Machine) updateInformed(l *requestQueue, c fleet.Count) {
	for _, a := range m.agents {
		if a.sentCounts[l.key] > 0 {
			m.addCount(a, l, c)
		}
	}
}

// informMore lets enough agents know of a line: a few for each request that
// waits, and more the longer the oldest waits.
func (m *Machine) informMore(l *requestQueue, c fleet.Count) {
	want := 1 + informedPerRequest*l.waiting + int(c.OldestAge/informMoreEvery)
	if l.informedAgents >= min(want, len(m.agents)) {
		return
	}
	if l.baseline == 0 {
		l.baseline = l.waiting
	}
	n := len(m.agents)
	for i := 0; i < n && l.informedAgents < want; i++ {
		l.rotation++
		a := m.agents[l.rotation%n]
		if a.sentCounts[l.key] == 0 && a.canRun(l.key.Work) {
			m.addCount(a, l, c)
		}
	}
}

// addCount adds a count to what an agent is told at the end of the tick.
func (m *Machine) addCount(a *agentView, l *requestQueue, c fleet.Count) {
	a.recordSent(l, c.Waiting)
	if len(a.unsent) == 0 {
		m.agentsToSend = append(m.agentsToSend, a)
	}
	a.unsent = append(a.unsent, c)
}

// flush sends each agent all that this tick has for it, in one message.
func (m *Machine) flush() []Command {
	var cmds []Command
	for _, a := range m.agentsToSend {
		cmds = append(cmds, DemandCmd{Agent: a.name, Counts: a.unsent})
		a.unsent = nil
	}
	m.agentsToSend = nil
	return cmds
}

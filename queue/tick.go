package queue

import (
	"container/heap"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

const (
	// announceDelay is how long a queue's oldest request must have waited before
	// its count is sent to agents. A newer request may still be granted to an
	// open claim, or be claimed by an agent already informed of the queue.
	announceDelay = TickInterval / 2
	// emptyDelay is how long a queue must have been empty before the informed
	// agents are sent a zero count. An agent that claims earlier is sent a denial
	// with the count.
	emptyDelay = time.Second
	// informedPerRequest is how many agents are informed per waiting request. If
	// all agents were informed of a short queue, each would claim from it and
	// most claims would be denied.
	informedPerRequest = 2
	// informMoreEvery is the interval at which one more agent is informed while
	// the oldest request waits.
	informMoreEvery = 100 * time.Millisecond
)

// tick expires requests that have waited too long and sends queue counts to the
// agents that need them. Its cost grows with the number of queues, not with the
// number of pairs of queue and agent.
func (m *Machine) tick(msg TickMsg) []Command {
	cmds := m.expire(msg)
	for _, t := range m.byTeam {
		t.rotateWindow(msg.Now)
	}
	for _, q := range m.ordered {
		m.updateAgents(msg.Now, q)
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

// updateAgents decides which agents are sent the count of one queue. All
// informed agents are sent it if the queue has been empty for emptyDelay or has
// grown by the factor resendGrowth. Further agents are informed if too few are.
func (m *Machine) updateAgents(now time.Duration, q *requestQueue) {
	if q.waiting == 0 {
		q.baseline = 0
		if q.informedAgents > 0 && now-q.lastRemoved >= emptyDelay {
			m.updateInformed(q, fleet.QueueCount{Key: q.key})
		}
		return
	}
	c := q.count(now)
	if c.OldestAge < announceDelay {
		return
	}
	if q.baseline > 0 && q.waiting >= resendGrowth*q.baseline {
		m.updateInformed(q, c)
		q.baseline = q.waiting
	}
	m.informMore(q, c)
}

// updateInformed adds a new count for every informed agent of a queue.
func (m *Machine) updateInformed(q *requestQueue, c fleet.QueueCount) {
	for _, a := range m.agents {
		if a.sentCounts[q.key] > 0 {
			m.addCount(a, q, c)
		}
	}
}

// informMore informs further agents of a queue: informedPerRequest for each
// waiting request, and one more for every informMoreEvery that the oldest waits.
func (m *Machine) informMore(q *requestQueue, c fleet.QueueCount) {
	want := 1 + informedPerRequest*q.waiting + int(c.OldestAge/informMoreEvery)
	if q.informedAgents >= min(want, len(m.agents)) {
		return
	}
	if q.baseline == 0 {
		q.baseline = q.waiting
	}
	n := len(m.agents)
	for i := 0; i < n && q.informedAgents < want; i++ {
		q.rotation++
		a := m.agents[q.rotation%n]
		if a.sentCounts[q.key] == 0 && a.canRun(q.key.Work) {
			m.addCount(a, q, c)
		}
	}
}

// addCount adds a count to those sent to an agent at the next flush.
func (m *Machine) addCount(a *agentView, q *requestQueue, c fleet.QueueCount) {
	a.recordSent(q, c.Waiting)
	if len(a.unsent) == 0 {
		m.agentsWithUnsent = append(m.agentsWithUnsent, a)
	}
	a.unsent = append(a.unsent, c)
}

// flush returns one command per agent with all its unsent counts.
func (m *Machine) flush() []Command {
	var cmds []Command
	for _, a := range m.agentsWithUnsent {
		cmds = append(cmds, DemandCmd{Agent: a.name, Counts: a.unsent})
		a.unsent = nil
	}
	m.agentsWithUnsent = nil
	return cmds
}

package queue

import (
	"container/heap"
	"time"
)

const (
	// unclaimedFor is how long a line's first request must have waited before
	// agents that were not told of it at once hear of it: one idle agent was,
	// and may have claimed it by then.
	unclaimedFor = TickEvery / 2
	// emptyFor is how long a line must have been empty before agents are told.
	// A Deny tells them sooner where it matters.
	emptyFor = time.Second
)

// tick ends waits that have lasted too long and tells agents of lines whose
// counts have changed materially.
func (m *Machine) tick(msg TickMsg) []Command {
	cmds := m.expire(msg)
	for _, t := range m.byTeam {
		t.decay(msg.Now)
	}
	for _, a := range m.agents {
		cmds = append(cmds, m.coalesce(msg, a)...)
	}
	return cmds
}

func (m *Machine) expire(msg TickMsg) []Command {
	var cmds []Command
	for len(m.expiry) > 0 && m.expiry[0].expires <= msg.Now {
		r := heap.Pop(&m.expiry).(*request)
		m.drop(msg.Now, r)
		c := m.refusalAfterRuns(r, ReasonWaited)
		c.RetryAfter = jitter(r.ID, m.team(r.Key.Team).expectedWait())
		cmds = append(cmds, c)
	}
	return cmds
}

// coalesce tells an agent what has changed since it was last told.
func (m *Machine) coalesce(msg TickMsg, a *agentView) []Command {
	return m.tell(a, func(l *line) (Count, bool) {
		if l.waiting == 0 {
			stale := a.told[l.key] > 0 && msg.Now-l.emptied >= emptyFor
			return Count{Key: l.key}, stale
		}
		if !a.grown(l.key, l.waiting) {
			return Count{}, false
		}
		c := l.count(msg.Now)
		return c, a.told[l.key] > 0 || c.OldestAge >= unclaimedFor
	})
}

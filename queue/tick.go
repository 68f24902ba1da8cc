package queue

import "container/heap"

// tick ends waits that have lasted too long and tells agents of lines whose
// counts have changed materially.
func (m *Machine) tick(msg TickMsg) []Command {
	m.ticks++
	cmds := m.expire(msg)
	for _, t := range m.byTeam {
		t.decay(msg.Now)
	}
	zeros := m.ticks%zeroEvery == 0
	for _, a := range m.agents {
		cmds = append(cmds, m.coalesce(msg, a, zeros)...)
	}
	return cmds
}

func (m *Machine) expire(msg TickMsg) []Command {
	var cmds []Command
	for len(m.expiry) > 0 && m.expiry[0].expires <= msg.Now {
		r := heap.Pop(&m.expiry).(*request)
		m.drop(r)
		c := m.refusalAfterRuns(r, ReasonWaited)
		c.RetryAfter = jitter(r.ID, m.team(r.Key.Team).expectedWait())
		cmds = append(cmds, c)
	}
	return cmds
}

// coalesce tells an agent what has changed since it was last told. A line
// that has only just got its first request is left out: an idle agent knows
// of it already, and it may be gone by the next tick.
func (m *Machine) coalesce(msg TickMsg, a *agentView, zeros bool) []Command {
	return m.tell(a, func(l *line) (Count, bool) {
		if !a.material(l.key, l.waiting) {
			return Count{}, false
		}
		c := l.count(msg.Now)
		if l.waiting == 0 {
			return c, zeros
		}
		return c, a.told[l.key] > 0 || c.OldestAge >= TickEvery/2
	})
}

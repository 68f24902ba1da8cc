package queue

import (
	"container/heap"
	"slices"
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
	// tellPerRequest is how many agents should know of each waiting request. A
	// short line that all knew would draw a claim from each, most in vain.
	tellPerRequest = 2
	// tellMoreEvery is the wait after which one more agent should know.
	tellMoreEvery = 100 * time.Millisecond
)

// tick ends waits that have lasted too long and tells agents of lines that
// they should know.
func (m *Machine) tick(msg TickMsg) []Command {
	cmds := m.expire(msg)
	for _, t := range m.byTeam {
		t.decay(msg.Now)
	}
	for _, l := range m.order {
		m.choose(msg.Now, l)
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

// choose marks agents that should hear of a line, so that enough know of it:
// a few for each request that waits, and more the longer the oldest waits.
func (m *Machine) choose(now time.Duration, l *line) {
	l.chosen = nil
	if l.waiting == 0 {
		return
	}
	c := l.count(now)
	if c.OldestAge < unclaimedFor {
		return
	}
	want := 1 + tellPerRequest*l.waiting + int(c.OldestAge/tellMoreEvery) - l.known
	n := len(m.agents)
	for i := 0; i < n && want > 0; i++ {
		l.cursor++
		a := m.agents[l.cursor%n]
		if a.told[l.key] == 0 && a.runs(l.key.Work) {
			l.chosen = append(l.chosen, a.name)
			want--
		}
	}
}

// coalesce tells an agent of the lines that it is chosen for, and of those
// that have grown much or have long been empty since it was told.
func (m *Machine) coalesce(msg TickMsg, a *agentView) []Command {
	return m.tell(a, func(l *line) (Count, bool) {
		told := a.told[l.key]
		switch {
		case l.waiting == 0:
			return Count{Key: l.key}, told > 0 && msg.Now-l.emptied >= emptyFor
		case told == 0:
			return l.count(msg.Now), slices.Contains(l.chosen, a.name)
		}
		return l.count(msg.Now), l.waiting >= growth*told
	})
}

package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// maxReturned bounds how often agents may hand a request back unrun.
const maxReturned = 16

// Machine holds the waiting and running requests of one router.
type Machine struct {
	cfg      Config
	lines    map[fleet.DemandKey]*line
	order    []*line // by key, so that nothing depends on the order of a map
	requests map[RequestID]*request
	expiry   expiryHeap
	agents   []*agentView // by name
	untold   []*agentView // that this tick has counts for
	turn     int          // rotates the choice between equal agents
	waiting  int
	byTeam   map[fleet.Team]*teamState
	budget   retryBudget
}

// New returns a machine with no requests and no agents.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:      cfg,
		lines:    map[fleet.DemandKey]*line{},
		requests: map[RequestID]*request{},
		byTeam:   map[fleet.Team]*teamState{},
	}
}

// Update takes one message and returns what is to be done about it, in order.
func (m *Machine) Update(msg Msg) []Command {
	switch msg := msg.(type) {
	case ConfigMsg:
		m.cfg = msg.Config
		return nil
	case AgentUpMsg:
		return m.agentUp(msg)
	case AgentDownMsg:
		return m.agentDown(msg)
	case AgentLeavingMsg:
		return m.agentLeaving(msg)
	case ArriveMsg:
		return m.arrive(msg)
	case CancelMsg:
		return m.cancel(msg)
	case FreeMsg:
		return m.freeSlots(msg)
	case ClaimMsg:
		return m.claim(msg)
	case AnswerStartedMsg:
		return m.answer(msg)
	case EndMsg:
		return m.end(msg)
	case TickMsg:
		return m.tick(msg)
	}
	return nil
}

// Waiting returns how many requests wait.
func (m *Machine) Waiting() int { return m.waiting }

// Unfinished returns how many requests have had no final answer.
func (m *Machine) Unfinished() int { return len(m.requests) }

// IsUnfinished tells whether a request has had no final answer.
func (m *Machine) IsUnfinished(id RequestID) bool {
	_, ok := m.requests[id]
	return ok
}

func (m *Machine) agent(n fleet.Name) (*agentView, int, bool) {
	i, ok := slices.BinarySearchFunc(m.agents, n, func(a *agentView, n fleet.Name) int {
		return cmp.Compare(a.name, n)
	})
	if !ok {
		return nil, i, false
	}
	return m.agents[i], i, true
}

// lineOf returns the line of a key, making it where there is none yet.
func (m *Machine) lineOf(k fleet.DemandKey) *line {
	if l, ok := m.lines[k]; ok {
		return l
	}
	l := &line{key: k}
	m.lines[k] = l
	i, _ := slices.BinarySearchFunc(m.order, k, func(l *line, k fleet.DemandKey) int {
		return l.key.Compare(k)
	})
	m.order = slices.Insert(m.order, i, l)
	return l
}

func (m *Machine) team(t fleet.Team) *teamState {
	s, ok := m.byTeam[t]
	if !ok {
		s = &teamState{}
		m.byTeam[t] = s
	}
	return s
}

// enter gives a request a place in its line.
func (m *Machine) enter(r *request, front bool) {
	r.state = stateWaiting
	l := m.lineOf(r.Key)
	if front {
		l.pushFront(r)
	} else {
		l.push(r)
	}
	m.waiting++
	m.team(r.Key.Team).waiting++
	heap.Push(&m.expiry, r)
}

// leave notes that a request waits no longer; its line is told by the caller.
func (m *Machine) leave(now time.Duration, r *request) {
	m.waiting--
	m.lines[r.Key].emptied = now
	m.team(r.Key.Team).waiting--
	if r.index >= 0 {
		heap.Remove(&m.expiry, r.index)
	}
}

// drop ends a waiting request out of turn.
func (m *Machine) drop(now time.Duration, r *request) {
	r.state = stateEnded
	m.leave(now, r)
	m.lines[r.Key].removed()
	delete(m.requests, r.ID)
}

func (m *Machine) finish(r *request) {
	r.state = stateEnded
	delete(m.requests, r.ID)
}

// expiresAt returns when a request's wait ends.
func (m *Machine) expiresAt(arrived time.Duration, r Request) time.Duration {
	end := arrived + m.cfg.MaxWait
	if r.Deadline > 0 {
		return min(end, r.Deadline)
	}
	return end
}

// Lines returns the lines in which requests wait.
func (m *Machine) Lines(now time.Duration) []fleet.Count {
	var out []fleet.Count
	for _, l := range m.order {
		if l.waiting > 0 {
			out = append(out, l.count(now))
		}
	}
	return out
}

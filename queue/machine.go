package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// maxReturns bounds how often agents may hand a request back unrun.
const maxReturns = 16

// Machine holds the waiting and running requests of one router.
type Machine struct {
	cfg          Config
	queues       map[fleet.DemandKey]*requestQueue
	ordered      []*requestQueue // by key, so that nothing depends on the order of a map
	requests     map[RequestID]*request
	expiry       expiryHeap
	agents       []*agentView // by name
	agentsToSend []*agentView // that this tick has counts for
	rotation     int          // rotates the choice between equal agents
	waiting      int
	byTeam       map[fleet.Team]*teamState
	budget       retryBudget
}

// New returns a machine with no requests and no agents.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:      cfg,
		queues:   map[fleet.DemandKey]*requestQueue{},
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

// queueFor returns the line of a key, making it where there is none yet.
func (m *Machine) queueFor(k fleet.DemandKey) *requestQueue {
	if l, ok := m.queues[k]; ok {
		return l
	}
	l := &requestQueue{key: k}
	m.queues[k] = l
	i, _ := slices.BinarySearchFunc(m.ordered, k, func(l *requestQueue, k fleet.DemandKey) int {
		return l.key.Compare(k)
	})
	m.ordered = slices.Insert(m.ordered, i, l)
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

// enqueue gives a request a place in its line.
func (m *Machine) enqueue(r *request, front bool) {
	r.state = stateWaiting
	l := m.queueFor(r.Key)
	if front {
		l.pushFront(r)
	} else {
		l.push(r)
	}
	m.waiting++
	m.team(r.Key.Team).waiting++
	heap.Push(&m.expiry, r)
}

// recordDequeue notes that a request waits no longer; its line is told by the caller.
func (m *Machine) recordDequeue(now time.Duration, r *request) {
	m.waiting--
	m.queues[r.Key].lastRemoved = now
	m.team(r.Key.Team).waiting--
	if r.heapIndex >= 0 {
		heap.Remove(&m.expiry, r.heapIndex)
	}
}

// removeWaiting ends a waiting request out of turn.
func (m *Machine) removeWaiting(now time.Duration, r *request) {
	r.state = stateEnded
	m.recordDequeue(now, r)
	m.queues[r.Key].recordRemoval()
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
	for _, l := range m.ordered {
		if l.waiting > 0 {
			out = append(out, l.count(now))
		}
	}
	return out
}

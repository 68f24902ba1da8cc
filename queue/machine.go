package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// maxReturns is how often agents may return one request without running it.
const maxReturns = 16

// Machine holds the waiting and running requests of one router.
type Machine struct {
	cfg              Config
	queues           map[fleet.DemandKey]*requestQueue
	ordered          []*requestQueue // ordered by key, so that decisions do not depend on map order
	requests         map[RequestID]*request
	expiry           expiryHeap
	agents           []*agentView // ordered by name
	agentsWithUnsent []*agentView // agents with counts to send at the next flush
	rotation         int          // rotates the choice among equal agents
	waiting          int
	byTeam           map[fleet.Team]*teamState
	budget           retryBudget
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

// Update processes one message and returns the resulting commands in order.
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
	case RequestMsg:
		return m.arrive(msg)
	case CancelMsg:
		return m.cancel(msg)
	case FreeMsg:
		return m.freeSlots(msg)
	case ClaimMsg:
		return m.claim(msg)
	case ResponseStartedMsg:
		return m.responseStarted(msg)
	case EndMsg:
		return m.end(msg)
	case TickMsg:
		return m.tick(msg)
	}
	return nil
}

// Waiting returns the number of waiting requests.
func (m *Machine) Waiting() int { return m.waiting }

// Unfinished returns the number of requests without a final response.
func (m *Machine) Unfinished() int { return len(m.requests) }

// IsUnfinished reports whether a request has had no final response.
func (m *Machine) IsUnfinished(id RequestID) bool {
	_, ok := m.requests[id]
	return ok
}

// agent returns the view of an agent, its index in m.agents and whether it
// exists. If not, the index is where to insert it.
func (m *Machine) agent(n fleet.Name) (*agentView, int, bool) {
	i, ok := slices.BinarySearchFunc(m.agents, n, func(a *agentView, n fleet.Name) int {
		return cmp.Compare(a.name, n)
	})
	if !ok {
		return nil, i, false
	}
	return m.agents[i], i, true
}

// queueFor returns the queue for key k and creates it if necessary.
func (m *Machine) queueFor(k fleet.DemandKey) *requestQueue {
	if q, ok := m.queues[k]; ok {
		return q
	}
	q := &requestQueue{key: k}
	m.queues[k] = q
	i, _ := slices.BinarySearchFunc(m.ordered, k, func(q *requestQueue, k fleet.DemandKey) int {
		return q.key.Compare(k)
	})
	m.ordered = slices.Insert(m.ordered, i, q)
	return q
}

// team returns the state of a team and creates it if necessary.
func (m *Machine) team(t fleet.Team) *teamState {
	s, ok := m.byTeam[t]
	if !ok {
		s = &teamState{}
		m.byTeam[t] = s
	}
	return s
}

// enqueue adds a request to the front or the back of its queue.
func (m *Machine) enqueue(r *request, front bool) {
	r.state = stateWaiting
	q := m.queueFor(r.Key)
	if front {
		q.pushFront(r)
	} else {
		q.push(r)
	}
	m.waiting++
	m.team(r.Key.Team).waiting++
	heap.Push(&m.expiry, r)
}

// recordDequeue records that a request no longer waits. The caller removes it
// from its requestQueue.
func (m *Machine) recordDequeue(now time.Duration, r *request) {
	m.waiting--
	m.queues[r.Key].lastRemoved = now
	m.team(r.Key.Team).waiting--
	if r.heapIndex >= 0 {
		heap.Remove(&m.expiry, r.heapIndex)
	}
}

// removeWaiting ends a waiting request that was cancelled or has expired.
func (m *Machine) removeWaiting(now time.Duration, r *request) {
	r.state = stateEnded
	m.recordDequeue(now, r)
	m.queues[r.Key].recordRemoval()
	delete(m.requests, r.ID)
}

// finish ends a request that is not waiting.
func (m *Machine) finish(r *request) {
	r.state = stateEnded
	delete(m.requests, r.ID)
}

// expiresAt returns the time at which a request stops waiting.
func (m *Machine) expiresAt(arrived time.Duration, r Request) time.Duration {
	end := arrived + m.cfg.MaxWait
	if r.Deadline > 0 {
		return min(end, r.Deadline)
	}
	return end
}

// Queues returns the counts of all non-empty queues.
func (m *Machine) Queues(now time.Duration) []fleet.QueueCount {
	var out []fleet.QueueCount
	for _, q := range m.ordered {
		if q.waiting > 0 {
			out = append(out, q.count(now))
		}
	}
	return out
}

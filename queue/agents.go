package queue

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

func (m *Machine) agentUp(msg AgentUpMsg) []Command {
	a, i, ok := m.agent(msg.Agent)
	if !ok {
		a = &agentView{name: msg.Agent, sentCounts: map[fleet.DemandKey]int{}}
		m.agents = slices.Insert(m.agents, i, a)
	}
	a.hall = msg.Hall
	a.works = msg.Works
	a.leaving = false
	m.clearSentCounts(a)
	return m.sendAllQueues(msg.Now, a)
}

func (m *Machine) agentDown(msg AgentDownMsg) []Command {
	a, i, ok := m.agent(msg.Agent)
	if !ok {
		return nil
	}
	m.clearSentCounts(a)
	m.agents = slices.Delete(m.agents, i, i+1)
	return m.abortRuns(msg.Agent)
}

// abortRuns aborts the runs of a lost agent whose response has not started. A
// response that has started may still complete because it does not travel over
// the link.
func (m *Machine) abortRuns(agent fleet.Name) []Command {
	var ids []RequestID
	for id, r := range m.requests {
		if r.state == stateRunning && r.claim.Agent == agent {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var cmds []Command
	for _, id := range ids {
		cmds = append(cmds, AbortCmd{ID: id})
	}
	return cmds
}

func (m *Machine) agentLeaving(msg AgentLeavingMsg) []Command {
	if a, _, ok := m.agent(msg.Agent); ok {
		a.leaving = true
		a.openClaims = openClaims{}
		m.clearSentCounts(a)
	}
	return nil
}

// clearSentCounts records that an agent no longer holds any counts.
func (m *Machine) clearSentCounts(a *agentView) {
	for k := range a.sentCounts {
		a.recordSent(m.queues[k], 0)
	}
	clear(a.sentCounts)
}

// freeSlots records an idle agent's open claims and sends it the counts of all
// queues that it can serve.
func (m *Machine) freeSlots(msg FreeMsg) []Command {
	a, _, ok := m.agent(msg.Agent)
	if !ok || a.leaving {
		return nil
	}
	a.openClaims = openClaims{
		next:      fleet.ClaimID{Agent: msg.Agent, Incarnation: msg.Incarnation, Seq: msg.First},
		remaining: msg.Slots,
		expiresAt: msg.Now + openClaimTTL,
	}
	return m.sendAllQueues(msg.Now, a)
}

// sendAllQueues sends an agent the counts of all non-empty queues that it can
// serve.
func (m *Machine) sendAllQueues(now time.Duration, a *agentView) []Command {
	for _, q := range m.ordered {
		if q.waiting > 0 && a.canRun(q.key.Work) {
			m.addCount(a, q, q.count(now))
		}
	}
	return m.flush()
}

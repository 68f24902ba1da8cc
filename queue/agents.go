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

// abortRuns gives up the unanswered runs of a lost agent. Answers that have
// begun may still end well: the link is not what they travel on.
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
		a.open = openClaims{}
		m.clearSentCounts(a)
	}
	return nil
}

// clearSentCounts notes that an agent believes in nothing any more.
func (m *Machine) clearSentCounts(a *agentView) {
	for k := range a.sentCounts {
		a.recordSent(m.queues[k], 0)
	}
	clear(a.sentCounts)
}

// freeSlots answers an idle agent with all the work that waits for it.
func (m *Machine) freeSlots(msg FreeMsg) []Command {
	a, _, ok := m.agent(msg.Agent)
	if !ok || a.leaving {
		return nil
	}
	a.open = openClaims{
		next:      fleet.ClaimID{Agent: msg.Agent, Incarnation: msg.Incarnation, Seq: msg.First},
		remaining: msg.Slots,
		expiresAt: msg.Now + openClaimTTL,
	}
	return m.sendAllQueues(msg.Now, a)
}

// sendAllQueues tells an agent of every line that waits for it.
func (m *Machine) sendAllQueues(now time.Duration, a *agentView) []Command {
	for _, l := range m.ordered {
		if l.waiting > 0 && a.canRun(l.key.Work) {
			m.addCount(a, l, l.count(now))
		}
	}
	return m.flush()
}

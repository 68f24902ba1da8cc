package queue

import (
	"slices"

	"github.com/croftvale/croftvale/fleet"
)

// resendGrowth is the factor by which a queue must grow before its count is sent
// again. Smaller changes are not sent: each granted request carries the
// remaining count of its queue, so the number of messages does not grow with
// the request rate.
const resendGrowth = 4

// agentView holds the router's state for one agent, including the queue counts
// last sent to it.
type agentView struct {
	name       fleet.Name
	hall       fleet.Hall
	works      []fleet.Work
	openClaims openClaims
	leaving    bool
	sentCounts map[fleet.DemandKey]int // last count sent, by queue
	unsent     []fleet.QueueCount      // counts to send at the next flush
}

// recordSent records the count of a queue that is being sent to the agent.
func (a *agentView) recordSent(q *requestQueue, waiting int) {
	wasInformed := a.sentCounts[q.key] > 0
	a.sentCounts[q.key] = waiting
	isInformed := waiting > 0
	switch {
	case isInformed && !wasInformed:
		q.informedAgents++
	case wasInformed && !isInformed:
		q.informedAgents--
	}
}

func (a *agentView) canRun(w fleet.Work) bool {
	return !a.leaving && slices.Contains(a.works, w)
}

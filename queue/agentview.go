package queue

import (
	"slices"

	"github.com/croftvale/croftvale/fleet"
)

// resendGrowth is the factor by which a count must grow to be told again. Smaller
// changes wait: what is left of a line comes with every request that the agent
// is granted, so that the number of messages does not follow the rate of
// requests.
const resendGrowth = 4

// agentView is what the router knows of one agent, and what the agent knows
// of the router's lines.
type agentView struct {
	name       fleet.Name
	hall       fleet.Hall
	works      []fleet.Work
	open       openClaims
	leaving    bool
	sentCounts map[fleet.DemandKey]int // the counts that the agent believes
	unsent     []fleet.Count           // what this tick has for it
}

// recordSent notes the count that the agent will believe of a line.
func (a *agentView) recordSent(l *requestQueue, waiting int) {
	was := a.sentCounts[l.key] > 0
	a.sentCounts[l.key] = waiting
	is := waiting > 0
	switch {
	case is && !was:
		l.informedAgents++
	case was && !is:
		l.informedAgents--
	}
}

func (a *agentView) canRun(w fleet.Work) bool {
	return !a.leaving && slices.Contains(a.works, w)
}

package queue

import (
	"slices"

	"github.com/croftvale/croftvale/fleet"
)

// agentView is what the router knows of one agent, and what the agent knows
// of the router's lines.
type agentView struct {
	name    fleet.Name
	hall    fleet.Hall
	works   []fleet.Work
	free    int // slots that the agent has said are idle, less what it was told of
	leaving bool
	told    map[fleet.DemandKey]int // the counts that the agent believes
}

func (a *agentView) runs(w fleet.Work) bool {
	return !a.leaving && slices.Contains(a.works, w)
}

// claimed mirrors that the agent counts one request less after its claim.
func (a *agentView) claimed(k fleet.DemandKey) {
	if a.told[k] > 0 {
		a.told[k]--
	}
}

// demand tells the agent of counts. Each such message uses up one of the
// slots that it announced; the agent counts the same way, and announces anew
// when none is left.
func (a *agentView) demand(counts []Count) DemandCmd {
	a.free = max(0, a.free-1)
	return DemandCmd{Agent: a.name, Counts: counts}
}

// material tells whether the agent should hear of a count: when it would
// wrongly see none, or is wrong by a factor of two. Small changes wait, so
// that the number of messages does not follow the rate of requests.
func (a *agentView) material(k fleet.DemandKey, waiting int) bool {
	told := a.told[k]
	if told == 0 {
		return waiting > 0
	}
	return waiting >= 2*told || 2*waiting < told
}

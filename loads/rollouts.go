package loads

import (
	"cmp"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// RolloutTTL is how long a list of roll-outs counts without a newer one. It is shorter than
// TeamsHold: while a missing report only delays a roll-out for a moment, a router that counts
// twice could hide another that has not reported yet.
const RolloutTTL = 350 * time.Millisecond

// reportedRollouts merges what the routers that report to this one, and this one where it
// reports to itself, tell of roll-outs; but for one.
func (e *Exchange) reportedRollouts(now time.Duration, except string) []rollout.Report {
	var lists [][]rollout.Report
	for from, l := range e.teamReports {
		if from != except && now-l.receivedAt <= RolloutTTL {
			lists = append(lists, l.rollouts)
		}
	}
	if e.includesSelf(except) {
		lists = append(lists, e.ownRollouts)
	}
	return mergeRollouts(lists...)
}

// rolloutsExcept merges what all routers of the region but one tell of roll-outs.
func (e *Exchange) rolloutsExcept(now time.Duration, except string) []rollout.Report {
	lists := [][]rollout.Report{e.reportedRollouts(now, except)}
	for _, l := range e.teamSums {
		if now-l.receivedAt <= RolloutTTL {
			lists = append(lists, l.rollouts)
		}
	}
	return mergeRollouts(lists...)
}

// mergeRollouts merges the reports of each order, in the order of services. Merging does
// not depend on the order of the lists.
func mergeRollouts(lists ...[]rollout.Report) []rollout.Report {
	return merge(lists, byOrder, func(a *rollout.Report, b rollout.Report) { *a = rollout.Merge(*a, b) })
}

func byOrder(a, b rollout.Report) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Order, b.Order))
}

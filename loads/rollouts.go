package loads

import (
	"cmp"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// RolloutTTL is how long a list of rollout reports counts without a newer one. It is shorter than
// TeamsTTL: a missing report delays a rollout only briefly, whereas a router that is counted twice
// could hide another one that has not reported yet.
const RolloutTTL = 350 * time.Millisecond

// reportedRollouts merges the rollout reports of the routers that report to this one, which may
// include itself, except for one router.
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

// rolloutsExcept merges the rollout reports of all routers of the region except for one.
func (e *Exchange) rolloutsExcept(now time.Duration, except string) []rollout.Report {
	lists := [][]rollout.Report{e.reportedRollouts(now, except)}
	for _, l := range e.teamSums {
		if now-l.receivedAt <= RolloutTTL {
			lists = append(lists, l.rollouts)
		}
	}
	return mergeRollouts(lists...)
}

// mergeRollouts merges the reports of each order and sorts them by service. The result does not
// depend on the order of the lists.
func mergeRollouts(lists ...[]rollout.Report) []rollout.Report {
	return merge(lists, byOrder, func(a *rollout.Report, b rollout.Report) { *a = rollout.Merge(*a, b) })
}

func byOrder(a, b rollout.Report) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Order, b.Order))
}

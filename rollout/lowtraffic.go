package rollout

import "time"

// lowTrafficRequests is the number of requests, from now to the deadline, that may go to a
// version on little or no evidence. Callers bear about 50 bad responses of a version before it
// is stopped; half of that leaves room for rising traffic.
const lowTrafficRequests = 25

// lowTrafficMinObserved is how long each router must observe a service before its traffic counts as low.
const lowTrafficMinObserved = 2 * time.Second

// lowTraffic reports whether so few requests arrive that the target may get all of them without
// evidence: otherwise a service without callers could never be moved. Without reports from all
// other routers, the number of requests is unknown.
func (r *rollout) lowTraffic(routers int) bool {
	demand := r.demand()
	if demand.Observed < lowTrafficMinObserved || r.routerCount() < routers {
		return false
	}
	target := r.all.total(true)
	if target.Bad > target.Good {
		return false
	}
	remaining := max(0, r.plan.deadline-r.age)
	return demand.expected(remaining) <= lowTrafficRequests
}

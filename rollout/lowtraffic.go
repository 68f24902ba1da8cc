package rollout

import "time"

// quietRequests is how many requests, from now to the deadline, may go to a version on
// little or no evidence. Callers bear some 50 bad answers of a version before it is stopped;
// half of that leaves room for traffic that picks up.
const lowTrafficRequests = 25

// quietAfter is how long each router has to watch a service before it is called quiet.
const lowTrafficMinObserved = 2 * time.Second

// quiet tells whether so few requests come that the target may get all of them without
// evidence. Otherwise a service that nobody calls could never be moved. A router that does
// not hear all others can't tell how many come.
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

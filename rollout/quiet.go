package rollout

import "time"

// quietRequests is how many requests, from now to the deadline, may go to a version on
// little or no evidence. Callers bear some 50 bad answers of a version before it is stopped;
// half of that leaves room for traffic that picks up.
const quietRequests = 25

// quietAfter is how long a service has to be watched before it is called quiet.
const quietAfter = 2 * time.Second

// quiet tells whether so few requests come that the target may get all of them without
// evidence. Otherwise a service that nobody calls could never be moved. A router that does
// not hear all others can't tell how many come.
func (r *rollout) quiet(routers int) bool {
	if r.watched < quietAfter || r.routers() < routers {
		return false
	}
	fresh := r.all.total(true)
	if fresh.Bad > fresh.Good {
		return false
	}
	ahead := max(0, r.plan.end-r.age)
	return r.calls()*float64(ahead) <= quietRequests*float64(r.watched)
}

// calls is how many requests have come to all routers, as far as that is known. Answers that say
// nothing of a version, such as those of cold servers, are not in the evidence, but their
// callers are there all the same: of what all routers judged, as many more are taken to have
// come as of what this router judged.
func (r *rollout) calls() float64 {
	sent := float64(r.sent)
	unjudged := max(1, sent/max(1, r.own.answers()))
	return max(sent, unjudged*r.all.answers())
}

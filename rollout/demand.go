package rollout

import "time"

// Demand is how many requests callers ask of one router, or of several together.
type Demand struct {
	// Complete says that every router whose requests are in it has told of them. Routers of
	// earlier builds don't.
	Complete bool
	// PerSecond is the rate of requests, over the time that each router has watched.
	PerSecond float64
	// Observed is the shortest time for which any of the routers has watched the service.
	Observed time.Duration
}

// plus adds what other routers are asked.
func (d Demand) add(o Demand) Demand {
	return Demand{
		Complete:  d.Complete && o.Complete,
		PerSecond: d.PerSecond + o.PerSecond,
		Observed:  min(d.Observed, o.Observed),
	}
}

// expected is how many requests come in a time, if as many come as before.
func (d Demand) expected(within time.Duration) float64 { return d.PerSecond * within.Seconds() }

// ownDemand is what this router is asked: at least as much as it has judged answers.
func (r *rollout) ownDemand() Demand {
	return r.demandOf(max(float64(r.requests), r.own.responses()))
}

// demand is what all routers are asked.
func (r *rollout) demand() Demand {
	switch {
	case r.peers.Routers == 0:
		return r.ownDemand()
	case r.peers.Demand.Complete:
		return r.ownDemand().add(r.peers.Demand)
	}
	return r.demandOf(r.estimatedRequests())
}

// demandOf is the demand that so many requests make since this router began to watch.
func (r *rollout) demandOf(requests float64) Demand {
	d := Demand{Complete: true, Observed: r.observed}
	if r.observed > 0 {
		d.PerSecond = requests / r.observed.Seconds()
	}
	return d
}

// estimatedRequests is how many requests have come to all routers, as far as that shows in their
// evidence. Answers that say nothing of a version, such as those of cold servers, are not in it,
// so as many more are taken to have come to all as came to this router.
func (r *rollout) estimatedRequests() float64 {
	requests := float64(r.requests)
	unjudged := max(1, requests/max(1, r.own.responses()))
	return max(requests, unjudged*r.all.responses())
}

package rollout

import "time"

// Demand is the rate of requests that one router, or several together, receives from callers.
type Demand struct {
	// Complete is set if every included router has reported its demand. Routers of earlier builds
	// report none.
	Complete bool
	// PerSecond is the rate of requests per second, over the time that each router has observed.
	PerSecond float64
	// Observed is the shortest time for which any of the routers has observed the service.
	Observed time.Duration
}

// add returns the joint demand of two sets of routers.
func (d Demand) add(o Demand) Demand {
	return Demand{
		Complete:  d.Complete && o.Complete,
		PerSecond: d.PerSecond + o.PerSecond,
		Observed:  min(d.Observed, o.Observed),
	}
}

// expected returns the number of requests to expect within a time, at the present rate.
func (d Demand) expected(within time.Duration) float64 { return d.PerSecond * within.Seconds() }

// ownDemand returns this router's demand, with at least one request for each response in its
// evidence.
func (r *rollout) ownDemand() Demand {
	return r.demandOf(max(float64(r.requests), r.own.responses()))
}

// demand returns the demand of all routers. If a peer does not report its own, the demand is
// estimated from the evidence.
func (r *rollout) demand() Demand {
	switch {
	case r.peers.Routers == 0:
		return r.ownDemand()
	case r.peers.Demand.Complete:
		return r.ownDemand().add(r.peers.Demand)
	}
	return r.demandOf(r.estimatedRequests())
}

// demandOf returns the demand for a number of requests since this router saw the order.
func (r *rollout) demandOf(requests float64) Demand {
	d := Demand{Complete: true, Observed: r.observed}
	if r.observed > 0 {
		d.PerSecond = requests / r.observed.Seconds()
	}
	return d
}

// estimatedRequests estimates, from the evidence of all routers, how many requests they received.
// The evidence lacks responses that show nothing about a version, such as those of cold servers;
// their ratio to the others is assumed to be the same at all routers as at this one.
func (r *rollout) estimatedRequests() float64 {
	requests := float64(r.requests)
	requestsPerResponse := max(1, requests/max(1, r.own.responses()))
	return max(requests, requestsPerResponse*r.all.responses())
}

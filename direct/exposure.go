package direct

const (
	// routeBurst is the number of requests of a route that may go to the target version ahead
	// of the limit. The total of the service has no burst. Without a burst per route, a route
	// with one request per second at a router would wait twenty seconds for its first at a
	// limit of a twentieth.
	routeBurst = 1
	// behindMinAllowed and behindFraction define when a route is behind: the limit allows it at
	// least behindMinAllowed requests to the target version, and it has sent less than
	// behindFraction of them.
	behindMinAllowed = 2
	behindFraction   = 0.5
)

// exposure counts the requests of a service that this router has sent since the target version
// was set. A router sends to the target only a fraction of the requests that are known to have
// reached servers, and nothing in advance. So the sum over all routers stays within the same
// fraction even if routers restart, join or are partitioned. Each route stays close to that
// fraction too, so that a canary gets a cross-section of the requests.
type exposure struct {
	requests int // arrived requests, and retries
	total    attemptCounts
	routes   byRoute[attemptCounts]
	// targetEpoch identifies the target version. Attempts that were sent under another one
	// don't count.
	targetEpoch uint64
}

// attemptCounts counts the attempts of one route, or of all.
type attemptCounts struct {
	reached  int // known to have reached servers of any version
	toTarget int // sent to servers of the target version, including those that may not have arrived
}

// reset clears the counts for another target version.
func (e *exposure) reset() { *e = exposure{targetEpoch: e.targetEpoch + 1} }

// allows reports whether one more request of a route may go to the target version.
func (e *exposure) allows(route string, limit float64) bool {
	return limit >= 1 || (e.routes.get(route).allows(limit, routeBurst) && e.total.allows(limit, 0))
}

// allows reports whether one more attempt may go to the target version if it may exceed the
// limit by burst.
func (e attemptCounts) allows(limit float64, burst int) bool {
	return float64(e.toTarget+1-burst) <= limit*float64(e.reached+1)
}

// behind reports whether a route sends much less to the target version than the limit allows.
// This happens if most of its requests share a few prompt parts, none of which has moved yet.
func (e *exposure) behind(route string, limit float64) bool {
	counts := e.routes.get(route)
	allowed := limit * float64(counts.reached)
	return limit < 1 && allowed >= behindMinAllowed && float64(counts.toTarget) < behindFraction*allowed
}

// countTarget counts an attempt at a server of the target version.
func (e *exposure) countTarget(route string) {
	e.routes.get(route).toTarget++
	e.total.toTarget++
}

// countReached counts an attempt that is known to have reached a server.
func (e *exposure) countReached(r *requestState) {
	if r.placement.counted || r.placement.targetEpoch != e.targetEpoch {
		return
	}
	r.placement.counted = true
	e.routes.get(r.Route).reached++
	e.total.reached++
}

// reachedServer reports whether an outcome proves that the request reached its server.
func (o Outcome) reachedServer() bool { return o == Done || o == Failed || o == NotRun }

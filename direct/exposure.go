package direct

const (
	// routeAhead is how many requests of a route may go to the target before as many of
	// it have reached servers as the limit asks for. The service's total has nothing in
	// advance; without this, a route with one request a second at a router would wait
	// twenty seconds for its first at a limit of a twentieth.
	routeBurst = 1
	// behindFrom is how many requests a route must be allowed to have sent to the target
	// before it can count as behind, behindPart the part of them below which it does.
	behindMinAllowed = 2
	behindFraction   = 0.5
)

// exposure counts what this router has sent for a service since the target of its gate
// was set. Each router grants itself only a part of what it has seen reach servers, and
// nothing in advance: so the sum over all routers keeps to the same part, whatever
// routers restart, join or are cut off. Within that, each route keeps to about the same
// part, so that a trial is a cross-section of the service's requests.
type exposure struct {
	requests int // requests that came, and attempts after their first
	total    attemptCounts
	routes   byRoute[attemptCounts]
	// epoch tells the counts of one target from those of another: what was sent before
	// does not count.
	targetEpoch uint64
}

// exposed counts the attempts of one route, or of all.
type attemptCounts struct {
	reached  int // servers of any version, as far as it is known
	toTarget int // sent to the target's servers, also those that may not have come there
}

// reset begins anew, for another target.
func (e *exposure) reset() { *e = exposure{targetEpoch: e.targetEpoch + 1} }

// allows tells whether one more request of a route may go to the target.
func (e *exposure) allows(route string, limit float64) bool {
	return limit >= 1 || (e.routes.get(route).allows(limit, routeBurst) && e.total.allows(limit, 0))
}

// allows tells whether one more may go to the target where some may be ahead of the limit.
func (e attemptCounts) allows(limit float64, burst int) bool {
	return float64(e.toTarget+1-burst) <= limit*float64(e.reached+1)
}

// behind tells whether much less of a route goes to the target than the limit allows: of a
// few parts of prompts that most of its requests share, none may have moved yet.
func (e *exposure) behind(route string, limit float64) bool {
	counts := e.routes.get(route)
	allowed := limit * float64(counts.reached)
	return limit < 1 && allowed >= behindMinAllowed && float64(counts.toTarget) < behindFraction*allowed
}

// sentTarget counts an attempt at a server of the target.
func (e *exposure) countTarget(route string) {
	e.routes.get(route).toTarget++
	e.total.toTarget++
}

// reached counts an attempt of which it is known that it came to a server.
func (e *exposure) countReached(r *requestState) {
	if r.placement.counted || r.placement.targetEpoch != e.targetEpoch {
		return
	}
	r.placement.counted = true
	e.routes.get(r.Route).reached++
	e.total.reached++
}

// reaches tells whether an outcome shows that the request came to its server.
func (o Outcome) reachedServer() bool { return o == Done || o == Failed || o == NotRun }

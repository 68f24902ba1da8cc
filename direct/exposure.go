package direct

// exposure counts what this router has sent for a service since the target of its gate
// was set. Each router grants itself only a part of what it has seen reach servers, and
// nothing in advance: so the sum over all routers keeps to the same part, whatever
// routers restart, join or are cut off.
type exposure struct {
	total  exposed
	routes map[string]*exposed
	// epoch tells the counts of one target from those of another: what was sent before
	// does not count.
	epoch uint64
}

// exposed counts the attempts of one route, or of all.
type exposed struct {
	reached int // servers of any version, as far as it is known
	target  int // sent to the target's servers, also those that may not have come there
}

// reset begins anew, for another target.
func (e *exposure) reset() { *e = exposure{epoch: e.epoch + 1} }

func (e *exposure) route(name string) *exposed {
	if e.routes == nil {
		e.routes = make(map[string]*exposed)
	}
	if e.routes[name] == nil {
		e.routes[name] = &exposed{}
	}
	return e.routes[name]
}

// allows tells whether one more request of a route may go to the target.
func (e *exposure) allows(route string, limit float64) bool {
	return limit >= 1 || (e.route(route).allows(limit) && e.total.allows(limit))
}

func (e exposed) allows(limit float64) bool {
	return float64(e.target+1) <= limit*float64(e.reached+1)
}

// sent counts an attempt at a server of the target.
func (e *exposure) sent(route string) {
	e.route(route).target++
	e.total.target++
}

// reached counts an attempt of which it is known that it came to a server.
func (e *exposure) reached(r *run) {
	if r.course.reached || r.course.epoch != e.epoch {
		return
	}
	r.course.reached = true
	e.route(r.Route).reached++
	e.total.reached++
}

// reaches tells whether an outcome shows that the request came to its server.
func (o Outcome) reaches() bool { return o == Done || o == Failed || o == NotRun }

package direct

import "time"

// Side says why a request goes to a server of the version that it goes to, while its
// service moves from one version to another.
type Side string

// The reasons. The empty one: its service does not move.
const (
	SideOld    Side = "old"          // its part has not moved yet
	SideTarget Side = "target"       // its part has moved
	SideSample Side = "sample"       // its part has not moved, and too few of its route have
	SideLimit  Side = "limit"        // its part has moved; this router may not send more to the target now
	SideFull   Side = "no_place"     // its part has moved; no server of the target would serve it in time
	SideRetry  Side = "after_target" // an attempt at the target brought no answer
	SideMoved  Side = "moved"        // it was broken off at an old server to go on at the target
)

// course is where a request stands between the versions of its service.
type course struct {
	target  bool // the side that it is being placed on, or was sent to
	side    Side
	failed  bool   // an attempt at a server of the target brought no answer
	moving  bool   // a MoveCmd was emitted for it; the budget has been charged
	moved   bool   // it was broken off to go on at the target
	epoch   uint64 // see exposure; of the present attempt
	reached bool   // the present attempt was counted as having come to its server
}

// wish is one of the sides that a request may go to.
type wish struct {
	target bool
	why    Side
}

// The orders in which sides are tried. Old servers that are closed are in no side, so
// that trying them finds nothing.
var (
	wishesOld    = []wish{{false, SideOld}}
	wishesTarget = []wish{{true, SideTarget}, {false, SideFull}}
	wishesSample = []wish{{true, SideSample}, {false, SideOld}}
	wishesRetry  = []wish{{false, SideRetry}, {true, SideTarget}}
	wishesMoved  = []wish{{true, SideMoved}, {false, SideFull}}
)

// wishes returns the sides that a request may go to, in order.
func (g *gate) wishes(r *run) []wish {
	switch {
	case r.course.failed:
		return wishesRetry
	case r.course.moved:
		return wishesMoved
	case g.closed() || position(r) < g.Part:
		return wishesTarget
	case g.exposure.behind(r.Route, g.Limit) && chance(uint64(r.ID)) < g.Part:
		return wishesSample
	}
	return wishesOld
}

// position is a request's place in the order in which parts move to another version,
// from 0 to 1. It is the same in all routers.
func position(r *run) float64 {
	if part, shared := r.lastShared(); shared {
		return chance(part.ID)
	}
	return chance(uint64(r.ID))
}

// chance is a number from 0 to 1 that a name always gives.
func chance(x uint64) float64 { return float64(scramble(x)>>11) / (1 << 53) }

// scramble spreads numbers that lie close together over all numbers.
func scramble(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// placeBySide picks a server on the first side that has a place for a request.
func (m *Machine) placeBySide(now time.Duration, p *pool, r *run) (choice, bool) {
	g := p.gate
	if g == nil || g.Target == "" {
		r.course.target, r.course.side = false, ""
		return m.place(now, p, r)
	}
	limited := false
	for _, w := range g.wishes(r) {
		if w.target && !g.exposure.allows(r.Route, g.Limit) {
			limited = true
			continue
		}
		r.course.target, r.course.side = w.target, w.why
		if limited && w.why == SideFull {
			r.course.side = SideLimit
		}
		if c, ok := m.place(now, p, r); ok {
			return c, true
		}
	}
	return choice{}, false
}

// embark takes in that a request is sent, before the load of the server is counted.
func (m *Machine) embark(now time.Duration, p *pool, r *run, c choice) choice {
	if p.gate == nil {
		return c
	}
	r.course.epoch, r.course.reached = p.gate.exposure.epoch, false
	if c.server.target {
		p.gate.exposure.sent(r.Route)
		if p.engine != nil {
			// A new version's servers keep nothing yet, not even the first for the part.
			c.miss = m.missing(now, p, c.server, r)
		}
	}
	return c
}

// disembark takes in how an attempt at a server ended.
func (p *pool) disembark(r *run, s *server, o Outcome) {
	if p.gate == nil {
		return
	}
	if o.reaches() {
		p.gate.exposure.reached(r)
	}
	r.course.failed = r.course.failed || (s.target && o != Moved)
	r.course.moved = r.course.moved || o == Moved
}

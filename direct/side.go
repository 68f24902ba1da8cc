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

// placement is where a request was placed, or is being placed, while its service moves from
// one version to another.
type placement struct {
	target       bool // the side that it is being placed on, or was sent to
	side         Side
	targetFailed bool   // an attempt at a server of the target brought no answer
	moving       bool   // a MoveCmd was emitted for it; the budget has been charged
	moved        bool   // it was broken off to go on at the target
	targetEpoch  uint64 // see exposure; of the present attempt
	counted      bool   // the present attempt was counted as having come to its server
}

// candidateSide is one of the sides that a request may go to.
type candidateSide struct {
	target bool
	side   Side
}

// The sides that a request may go to, in the order in which they are tried. Old servers
// that are closed are on no side, so trying theirs finds nothing.
var (
	sidesOld    = []candidateSide{{false, SideOld}}
	sidesTarget = []candidateSide{{true, SideTarget}, {false, SideFull}}
	sidesSample = []candidateSide{{true, SideSample}, {false, SideOld}}
	sidesRetry  = []candidateSide{{false, SideRetry}, {true, SideTarget}}
	sidesMoved  = []candidateSide{{true, SideMoved}, {false, SideFull}}
)

// sidesFor returns the sides that a request may go to, in order.
func (g *gate) sidesFor(r *requestState) []candidateSide {
	switch {
	case r.placement.targetFailed:
		return sidesRetry
	case r.placement.moved:
		return sidesMoved
	case g.oldVersionsClosed() || rolloutPosition(r) < g.Fraction:
		return sidesTarget
	case g.exposure.behind(r.Route, g.Limit) && unitHash(uint64(r.ID)) < g.Fraction:
		return sidesSample
	}
	return sidesOld
}

// position is a request's place in the order in which parts move to another version,
// from 0 to 1. It is the same in all routers.
func rolloutPosition(r *requestState) float64 {
	if part, shared := r.lastShared(); shared {
		return unitHash(part.ID)
	}
	return unitHash(uint64(r.ID))
}

// chance maps an id to a number from 0 to 1, always the same one.
func unitHash(x uint64) float64 { return float64(splitMix64(x)>>11) / (1 << 53) }

// scramble mixes the bits of an id (SplitMix64), so that ids that follow one another give
// unrelated numbers.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// placeBySide picks a server on the first side that has a place for a request.
func (m *Machine) placeOnSide(now time.Duration, p *pool, r *requestState) (choice, bool) {
	g := p.gate
	if g == nil || g.Target == "" {
		r.placement.target, r.placement.side = false, ""
		return m.place(now, p, r)
	}
	limited := false
	for _, candidate := range g.sidesFor(r) {
		if candidate.target && !g.exposure.allows(r.Route, g.Limit) {
			limited = true
			continue
		}
		r.placement.target, r.placement.side = candidate.target, candidate.side
		if limited && candidate.side == SideFull {
			r.placement.side = SideLimit
		}
		if c, ok := m.place(now, p, r); ok {
			return c, true
		}
	}
	return choice{}, false
}

// noteSent counts a request that is being sent against the exposure, before the load of
// its server is counted.
func (m *Machine) recordSent(now time.Duration, p *pool, r *requestState, c choice) choice {
	if p.gate == nil {
		return c
	}
	r.placement.targetEpoch, r.placement.counted = p.gate.exposure.targetEpoch, false
	if r.attempt > 0 {
		p.gate.exposure.requests++
	}
	if c.server.target {
		p.gate.exposure.countTarget(r.Route)
		if p.engine != nil {
			// A new version's servers keep nothing yet, not even the first for the part.
			c.missTokens = m.missingTokens(now, p, c.server, r)
		}
	}
	return c
}

// noteEnded takes in, for the exposure and for the next placement, how an attempt ended.
func (p *pool) recordEnded(r *requestState, s *server, o Outcome) {
	if p.gate == nil {
		return
	}
	if o.reachedServer() {
		p.gate.exposure.countReached(r)
	}
	r.placement.targetFailed = r.placement.targetFailed || (s.target && o != Moved)
	r.placement.moved = r.placement.moved || o == Moved
}

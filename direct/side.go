package direct

import "time"

// Side is the reason why, during a rollout, a request goes to an old server or to one of the
// target version.
type Side string

// The reasons. Without a rollout, Side is empty.
const (
	SideOld    Side = "old"          // its prompt part has not moved yet
	SideTarget Side = "target"       // its prompt part has moved
	SideSample Side = "sample"       // its prompt part has not moved, but too few requests of its route go to the target version
	SideLimit  Side = "limit"        // its prompt part has moved, but this router may not send more to the target version now
	SideFull   Side = "no_place"     // its prompt part has moved, but no server of the target version would serve it in time
	SideRetry  Side = "after_target" // an attempt at the target version was unsuccessful
	SideBegun  Side = "begun"        // a server of the same version began its stream
)

// placement records where a request was placed, or is being placed, during a rollout.
type placement struct {
	target       bool // the request is being placed on, or was sent to, the side of the target version
	side         Side
	targetFailed bool   // an attempt at a server of the target version was unsuccessful
	targetEpoch  uint64 // of the current attempt; see exposure
	counted      bool   // the current attempt was counted as having reached its server
}

// candidateSide is one of the sides that a request may go to.
type candidateSide struct {
	target bool
	side   Side
}

// The sides that a request may go to, in the order in which they are tried. If old servers are
// closed, the old side is empty.
var (
	sidesOld         = []candidateSide{{false, SideOld}}
	sidesTarget      = []candidateSide{{true, SideTarget}, {false, SideFull}}
	sidesSample      = []candidateSide{{true, SideSample}, {false, SideOld}}
	sidesRetry       = []candidateSide{{false, SideRetry}, {true, SideTarget}}
	sidesBegunOld    = []candidateSide{{false, SideBegun}}
	sidesBegunTarget = []candidateSide{{true, SideBegun}}
)

// sidesFor returns the sides that a request may go to, in the order in which they are tried.
func (g *gate) sidesFor(r *requestState) []candidateSide {
	switch {
	case r.Version != "" && r.Version == g.Target:
		return sidesBegunTarget
	case r.Version != "":
		return sidesBegunOld
	case r.placement.targetFailed:
		return sidesRetry
	case g.oldVersionsClosed() || rolloutPosition(r) < g.Fraction:
		return sidesTarget
	case g.exposure.behind(r.Route, g.Limit) && unitHash(uint64(r.ID)) < g.Fraction:
		return sidesSample
	}
	return sidesOld
}

// rolloutPosition returns the position of a request, from 0 to 1, in the order in which prompt
// parts move to the target version. It is the same in all routers.
func rolloutPosition(r *requestState) float64 {
	if part, shared := r.lastShared(); shared {
		return unitHash(part.ID)
	}
	return unitHash(uint64(r.ID))
}

// unitHash maps an ID to a number from 0 to 1.
func unitHash(x uint64) float64 { return float64(splitMix64(x)>>11) / (1 << 53) }

// splitMix64 mixes the bits of an ID, so that consecutive IDs yield unrelated numbers.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// placeOnSide picks a server on the first side that has capacity for a request.
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

// recordSent counts a request that is being sent in the exposure, before it is added to the
// load of its server. It returns the choice, for a server of the target version with the shared
// tokens that the server must read.
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
			// Servers of a new version have no cached parts yet, not even the server that
			// ranks first for a part.
			c.missTokens = m.missingTokens(now, p, c.server, r)
		}
	}
	return c
}

// recordEnded updates the exposure and the placement with the outcome of an attempt.
func (p *pool) recordEnded(r *requestState, s *server, o Outcome) {
	if p.gate == nil {
		return
	}
	if o.reachedServer() {
		p.gate.exposure.countReached(r)
	}
	r.placement.targetFailed = r.placement.targetFailed || s.target
}

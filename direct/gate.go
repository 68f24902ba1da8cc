package direct

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// gate decides which servers of a pool may get requests during a rollout. The zero value admits
// no server: nothing is known about the service yet.
type gate struct {
	rollout.Gate
	old, target []*server // admitted servers, by ID
	// closing are the servers of versions in use that get no new requests any more. They may
	// still continue the streams that their version began.
	closing  []*server
	exposure exposure
	unrated  unrated
}

// applyGate applies a newer gate to the service's pool and serves its queue.
func (m *Machine) applyGate(msg GateMsg) {
	p := m.pool(msg.Gate.Service)
	if p.gate == nil {
		p.gate = &gate{}
	}
	if p.gate.Target != msg.Gate.Target {
		p.gate.exposure.reset()
		p.gate.unrated = nil
	}
	p.gate.Gate = msg.Gate
	p.updateAdmitted()
	m.serveQueue(msg.Now, p, maxQueued)
}

// updateAllAdmitted recomputes the admitted servers of all pools after a change in the state of
// some servers.
func (m *Machine) updateAllAdmitted() {
	for _, p := range m.pools {
		p.updateAdmitted()
	}
}

// updateAdmitted recomputes the admitted servers, which may get requests. The others are
// barred: they get no requests and are excluded from averages and shares.
func (p *pool) updateAdmitted() {
	g := p.gate
	if g == nil {
		p.admitted = p.all
		p.markSoleServers()
		return
	}
	g.old, g.target, g.closing = nil, nil, nil
	for _, s := range p.all {
		s.target = g.isTarget(s)
		switch {
		case s.target || !g.Uses(s.Version):
		case g.oldVersionsClosed():
			g.closing = append(g.closing, s)
		default:
			g.old = append(g.old, s)
		}
	}
	g.target = g.canaryServers(p.all)
	p.admitted = make([]*server, 0, len(g.old)+len(g.target))
	p.admitted = append(append(p.admitted, g.old...), g.target...)
	sortByID(p.admitted)
	for _, s := range p.all {
		s.versionBarred = true
	}
	for _, s := range p.admitted {
		s.versionBarred = false
	}
	p.assignCohorts()
	p.markSoleServers()
}

// isTarget reports whether a server has the target version.
func (g *gate) isTarget(s *server) bool { return g.Target != "" && s.Version == g.Target }

// oldVersionsClosed reports whether old versions get no new requests.
func (g *gate) oldVersionsClosed() bool { return g.OldClosed && g.Target != "" }

// side returns the admitted servers of the target version, or of the old versions. Without a
// gate there is only one side.
func (p *pool) side(target bool) []*server {
	switch {
	case p.gate == nil:
		return p.admitted
	case target:
		return p.gate.target
	}
	return p.gate.old
}

// sideServers returns the servers of the side that a request is being placed on.
func (p *pool) sideServers(r *requestState) []*server {
	return p.serversOn(r.placement.target, &r.Request)
}

// serversOn returns the servers of a side that may get a request: the admitted ones and, for a
// stream that has begun, those that only finish what their version began.
func (p *pool) serversOn(target bool, r *Request) []*server {
	if p.gate != nil && !target && r.Version != "" && p.gate.oldVersionsClosed() {
		return p.gate.closing
	}
	return p.side(target)
}

// serversFor returns the servers that may get a request, on all sides.
func (p *pool) serversFor(r *Request) []*server {
	if p.gate == nil || r.Version == "" {
		return p.admitted
	}
	return p.serversOn(r.Version == p.gate.Target, r)
}

// sameSide returns the servers that a server is compared with for ejection: those of its own
// side. Compared with the old servers, each server of a bad version would be an outlier and
// would be ejected before there were enough responses to reject the version itself.
func (p *pool) sameSide(s *server) []*server { return p.side(s.target) }

// noUsableServer reports whether none of the sides that a request may go to has a usable
// server.
func (p *pool) noUsableServer(now time.Duration, r *requestState) bool {
	if p.gate == nil {
		return false
	}
	for _, candidate := range p.gate.sidesFor(r) {
		if slices.ContainsFunc(p.serversOn(candidate.target, &r.Request), func(s *server) bool { return s.accepts(now, &r.Request) }) {
			return false
		}
	}
	return true
}

package direct

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// gate says which servers of a pool may get requests while services move from one
// version to another. The zero value lets nothing through: nothing is known of the
// service yet.
type gate struct {
	rollout.Gate
	old, target []*server // that may get requests, by id
	exposure    exposure
	unrated     unrated
	movePending bool // streams at old servers may still have to be moved
}

// takeGate puts a gate in force.
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
	p.gate.movePending = msg.Gate.MoveStreams
	p.updateEligible()
	m.serveQueue(msg.Now, p, maxQueued)
	m.moveStreams(msg.Now, p)
}

// admitAll works out anew which servers may get requests, after their states changed.
func (m *Machine) updateAllEligible() {
	for _, p := range m.pools {
		p.updateEligible()
	}
}

// admit works out which servers may get requests. The others are marked as barred: they
// get none, and no average or share counts them.
func (p *pool) updateEligible() {
	g := p.gate
	if g == nil {
		p.admitted = p.all
		return
	}
	g.old, g.target = nil, nil
	for _, s := range p.all {
		s.target = g.isTarget(s)
		if !s.target && !g.oldVersionsClosed() && g.Uses(s.Version) {
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
}

// targets tells whether a server is of the version that is being moved to.
func (g *gate) isTarget(s *server) bool { return g.Target != "" && s.Version == g.Target }

// closed tells whether old versions get nothing new.
func (g *gate) oldVersionsClosed() bool { return g.OldClosed && g.Target != "" }

// side returns the servers that may get requests of the target, or of the old versions.
// Without a gate there is one side.
func (p *pool) side(target bool) []*server {
	switch {
	case p.gate == nil:
		return p.admitted
	case target:
		return p.gate.target
	}
	return p.gate.old
}

// reachable returns the servers of the side that a request is being placed on.
func (p *pool) eligible(r *requestState) []*server { return p.side(r.placement.target) }

// sameSide returns the servers that a server is compared with for ejection: those of its
// own side. Among the old servers, each server of a bad version would stand out and be
// ejected before enough answers had shown that the version itself is bad.
func (p *pool) sameSide(s *server) []*server { return p.side(s.target) }

// noSideUsable tells whether a request finds no usable server on any side that it may go to.
func (p *pool) noUsableServer(now time.Duration, r *requestState) bool {
	if p.gate == nil {
		return false
	}
	for _, candidate := range p.gate.sidesFor(r) {
		if slices.ContainsFunc(p.side(candidate.target), func(s *server) bool { return s.usable(now) }) {
			return false
		}
	}
	return true
}

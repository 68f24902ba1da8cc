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
	moveable    bool // there may be streams that have not been moved yet
}

// takeGate puts a gate in force.
func (m *Machine) takeGate(msg GateMsg) {
	p := m.pool(msg.Gate.Service)
	if p.gate == nil {
		p.gate = &gate{}
	}
	if p.gate.Target != msg.Gate.Target {
		p.gate.exposure.reset()
	}
	p.gate.Gate = msg.Gate
	p.gate.moveable = msg.Gate.Move
	p.admit()
	m.serve(msg.Now, p, maxQueued)
	m.move(msg.Now, p)
}

// admitAll works out anew which servers may get requests, after their states changed.
func (m *Machine) admitAll() {
	for _, p := range m.pools {
		p.admit()
	}
}

// admit works out which servers may get requests. The others are in no average and get
// nothing at all.
func (p *pool) admit() {
	g := p.gate
	if g == nil {
		p.order = p.all
		return
	}
	g.old, g.target = nil, nil
	for _, s := range p.all {
		s.target = g.targets(s)
		if !s.target && !g.closed() && g.Uses(s.Version) {
			g.old = append(g.old, s)
		}
	}
	g.target = g.taking(p.all)
	p.order = make([]*server, 0, len(g.old)+len(g.target))
	p.order = append(append(p.order, g.old...), g.target...)
	sortByID(p.order)
	for _, s := range p.all {
		s.barred = true
	}
	for _, s := range p.order {
		s.barred = false
	}
	p.nameCohorts()
}

// targets tells whether a server is of the version that is being moved to.
func (g *gate) targets(s *server) bool { return g.Target != "" && s.Version == g.Target }

// closed tells whether old versions get nothing new.
func (g *gate) closed() bool { return g.OldClosed && g.Target != "" }

// reachable returns the servers of the side that a request is being placed on.
func (p *pool) reachable(r *run) []*server {
	switch {
	case p.gate == nil:
		return p.order
	case r.course.target:
		return p.gate.target
	}
	return p.gate.old
}

// alike returns the servers that one is compared with: those of its side. A bad version
// would make each of its servers stand out among the old ones, and all of them would be
// ejected before they have said enough of the version.
func (p *pool) alike(s *server) []*server {
	switch {
	case p.gate == nil:
		return p.order
	case s.target:
		return p.gate.target
	}
	return p.gate.old
}

// shut tells whether no server of the sides that a request may go to can be used.
func (p *pool) shut(now time.Duration, r *run) bool {
	if p.gate == nil {
		return false
	}
	for _, w := range p.gate.wishes(r) {
		side := p.gate.old
		if w.target {
			side = p.gate.target
		}
		if slices.ContainsFunc(side, func(s *server) bool { return s.usable(now) }) {
			return false
		}
	}
	return true
}

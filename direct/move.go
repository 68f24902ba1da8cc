package direct

import (
	"cmp"
	"slices"
	"time"
)

const (
	// movesPart and movesLeast spread moves of streams over about a second: in each tick
	// a part of those that are left, and some at the least. The prompts of streams that
	// move are read anew, and callers wait behind them.
	moveFraction    = 0.125
	minMovesPerTick = 4
)

// move breaks off streams that run at old servers and may go on at the target's, a few
// at a time. Each takes a retry from the budget; where there is none left, or no room at
// the target's servers, they run on and are tried again later.
func (m *Machine) moveStreams(now time.Duration, p *pool) {
	g := p.gate
	if g == nil || !g.movePending || g.Target == "" {
		return
	}
	streams := m.movable(p)
	limit := max(int(moveFraction*float64(len(streams))), minMovesPerTick)
	limit = min(limit, len(streams), g.freeSlots(now))
	for _, r := range streams[:limit] {
		if !p.retryWindow.trySpend(now, m.options.RetryBudget, m.routers) {
			return
		}
		r.placement.moving = true
		m.emit(MoveCmd{ID: r.ID})
	}
}

// movable returns the requests at old servers that may go on elsewhere, by id.
func (m *Machine) movable(p *pool) []*requestState {
	var out []*requestState
	for _, r := range m.requests {
		if r.currentServer == nil || r.Service != p.name || r.currentServer.target || r.placement.moving {
			continue
		}
		if r.MayRepeat && r.attempt < r.Attempts {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *requestState) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// room counts the free slots of the target's servers.
func (g *gate) freeSlots(now time.Duration) int {
	free := 0
	for _, s := range g.target {
		if s.usable(now) && !s.probation {
			free += max(s.Slots-s.totalRunning(), 0)
		}
	}
	return free
}

// OldRunning counts this router's running requests of a service at servers of versions
// other than the one that it moves to; 0 where it does not move.
func (m *Machine) OldRunning(service string) int {
	p := m.pools[service]
	if p == nil || p.gate == nil || p.gate.Target == "" {
		return 0
	}
	running := 0
	for _, s := range p.all {
		if !s.target {
			running += s.running
		}
	}
	return running
}

// RequestCounts counts, for each service that moves to another version, the requests that have come to
// this router since then, whether or not they could be sent, and attempts after their first.
func (m *Machine) RequestCounts() map[string]int {
	out := make(map[string]int)
	for name, p := range m.pools {
		if p.gate != nil && p.gate.Target != "" {
			out[name] = p.gate.exposure.requests
		}
	}
	return out
}

// AllOldRunning returns OldRunning of each service that moves to another version.
func (m *Machine) AllOldRunning() map[string]int {
	out := make(map[string]int)
	for name, p := range m.pools {
		if p.gate != nil && p.gate.Target != "" {
			out[name] = m.OldRunning(name)
		}
	}
	return out
}

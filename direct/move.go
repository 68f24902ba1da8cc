package direct

import (
	"cmp"
	"slices"
	"time"
)

const (
	// moveFraction and minMovesPerTick spread the moves of streams over about a second: each
	// tick moves a fraction of the remaining streams, but no fewer than the minimum. The
	// servers read the prompts of moved streams again, which delays other requests.
	moveFraction    = 0.125
	minMovesPerTick = 4
)

// moveStreams interrupts streams at old servers that may continue at the target version, a few
// at a time. Each move takes a retry from the budget. Without budget, or without free slots at
// the target version, the streams continue and are tried again later.
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

// movable returns the running requests at old servers that may continue elsewhere, by ID.
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

// freeSlots counts the free slots of the target version's usable servers.
func (g *gate) freeSlots(now time.Duration) int {
	free := 0
	for _, s := range g.target {
		if s.usable(now) && !s.probation {
			free += max(s.Slots-s.totalRunning(), 0)
		}
	}
	return free
}

// OldRunning returns how many requests of a service this router runs at servers of versions
// other than the target version, or 0 without a rollout.
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

// RequestCounts returns, for each service with a rollout, the number of requests that have
// arrived at this router since its target version was set, whether or not they could be sent,
// plus the number of retries.
func (m *Machine) RequestCounts() map[string]int {
	out := make(map[string]int)
	for name, p := range m.pools {
		if p.gate != nil && p.gate.Target != "" {
			out[name] = p.gate.exposure.requests
		}
	}
	return out
}

// AllOldRunning returns OldRunning of each service with a rollout.
func (m *Machine) AllOldRunning() map[string]int {
	out := make(map[string]int)
	for name, p := range m.pools {
		if p.gate != nil && p.gate.Target != "" {
			out[name] = m.OldRunning(name)
		}
	}
	return out
}

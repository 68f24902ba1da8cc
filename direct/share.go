package direct

import "time"

const (
	// shareEvery is how often shares are worked out.
	shareEvery = 100 * time.Millisecond
	// busySlots is the part of the slots, and busyWait the backlog in parts of
	// the requests' objectives, at which engines count as busy.
	busySlots = 0.55
	busyWait  = 0.3
	// busyStep is the weight of what engines have at one moment in how busy
	// they count: requests come in clumps, which engines work off.
	busyStep = 0.1
	// objectiveStep is the weight of one request in the average objective.
	objectiveStep = 0.02
	// headroomGrows and headroomShrinks change the headroom that teams get above their
	// shares while engines are idle, or busy; headroomMost bounds it.
	headroomGrows   = 1.05
	headroomShrinks = 0.95
	headroomMost    = 4.0
	headroomFrom    = 0.8 // of busy: below, the headroom grows
)

// share works out how much a team may have. What all teams may have together is
// what the configuration says that engines produce, and more of it while the
// engines are seen to have room.
func (m *Machine) share(now time.Duration) {
	if now < m.sharedAt+shareEvery {
		return
	}
	passed := now - m.sharedAt
	m.sharedAt = now
	m.group()
	demands, served := m.demands(now)
	busy := 0.0
	for _, p := range m.pools {
		p.setKeeps(served)
		busy = max(busy, p.busy(now))
	}
	m.busy += busyStep * (busy - m.busy)
	switch {
	case !m.uses(Headroom):
		m.ownHeadroom = 1
	case m.busy > 1:
		m.ownHeadroom = max(m.ownHeadroom*headroomShrinks, 1)
	case m.busy < headroomFrom:
		m.ownHeadroom = min(max(m.ownHeadroom, 1)*headroomGrows, headroomMost)
	}
	m.headroom = m.commonHeadroom()
	m.fill(demands)
	m.boundEven(now)
	m.allow(now, passed)
	m.weighTeams(now)
}

// fill works out the levels up to which teams may get what they ask for; demands are those
// of the teams that are not bound.
func (m *Machine) fill(demands []float64) {
	m.level = 0
	switch {
	case m.limits.TokensPerSecond <= 0:
	case len(m.groups) > 0:
		m.fillGroups(demands)
	default:
		m.base = waterLevel(demands, m.limits.TokensPerSecond)
		m.level = waterLevel(demands, m.limits.TokensPerSecond*m.headroom)
	}
}

// demands notes with each group what its active teams ask for, and returns that of the
// teams that are not bound, and what all teams get.
func (m *Machine) demands(now time.Duration) (free []float64, served float64) {
	free = make([]float64, 0, len(m.teams))
	for _, t := range m.teams {
		served += t.servedRate(now)
		d := t.offeredRate(now)
		switch {
		case d <= activeRate:
		case t.group == nil:
			free = append(free, d)
		default:
			t.group.demands = append(t.group.demands, d)
		}
	}
	return free, served
}

// weighTeams adds up what teams ask of this router. What is refused at the door
// does not count, since it takes little processor time.
func (m *Machine) weighTeams(now time.Duration) {
	sum, squares := 0.0, 0.0
	for _, t := range m.teams {
		own := t.entered.decay(now)
		sum += own
		squares += own * own
	}
	m.weightUnit = 0
	if squares > 0 {
		m.weightUnit = sum / squares
	}
}

// TeamWeight returns how much of what this router is asked for is a team's, so
// that the average over what it is asked for is 1.
func (m *Machine) TeamWeight(now time.Duration, team string) float64 {
	t := m.teams[team]
	if t == nil {
		return 0
	}
	return t.entered.decay(now) * m.weightUnit
}

// busy tells how much the engines of a pool have to do; above 1 they are busy.
func (p *pool) busy(now time.Duration) float64 {
	if p.engine == nil {
		return 0
	}
	running, slots, wait, n := 0, 0, 0.0, 0
	for _, s := range p.order {
		if !s.usable(now) || s.cold.at(now) {
			continue
		}
		running += s.allRunning()
		slots += s.Slots
		wait += float64(s.allPending()) / p.rateOf(s)
		n++
	}
	if n == 0 || slots == 0 {
		return 0
	}
	bySlots := float64(running) / float64(slots) / busySlots
	byWait := wait / float64(n) / (busyWait * max(p.objective, 1))
	return max(bySlots, byWait)
}

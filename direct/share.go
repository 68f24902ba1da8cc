package direct

import "time"

const (
	// shareInterval is how often shares are worked out.
	shareInterval = 100 * time.Millisecond
	// busySlotFraction is the part of the slots, and busyWait the backlog in parts of
	// the requests' objectives, at which engines count as busy.
	busySlotFraction    = 0.55
	busyBacklogFraction = 0.3
	// busyWeight is the weight of what engines have at one moment in how busy
	// they count: requests come in clumps, which engines work off.
	busyWeight = 0.1
	// objectiveWeight is the weight of one request in the average objective.
	objectiveWeight = 0.02
	// headroomGrowth and headroomShrinks change the headroom that teams get above their
	// shares while engines are idle, or busy; headroomMost bounds it.
	headroomGrowth    = 1.05
	headroomDecay     = 0.95
	maxHeadroom       = 4.0
	headroomGrowBelow = 0.8 // of busy: below, the headroom grows
)

// updateShares works out how much a team may have. What all teams may have together is
// what the configuration says that engines produce, and more of it while the
// engines are seen to have room.
func (m *Machine) updateShares(now time.Duration) {
	if now < m.sharesUpdatedAt+shareInterval {
		return
	}
	elapsed := now - m.sharesUpdatedAt
	m.sharesUpdatedAt = now
	m.group()
	demands, served := m.demands(now)
	busy := 0.0
	for _, p := range m.pools {
		p.updateCacheTTL(served)
		busy = max(busy, p.busy(now))
	}
	m.busy += busyWeight * (busy - m.busy)
	switch {
	case !m.enabled(Headroom):
		m.ownHeadroom = 1
	case m.busy > 1:
		m.ownHeadroom = max(m.ownHeadroom*headroomDecay, 1)
	case m.busy < headroomGrowBelow:
		m.ownHeadroom = min(max(m.ownHeadroom, 1)*headroomGrowth, maxHeadroom)
	}
	m.headroom = m.medianHeadroom()
	m.updateLevels(demands)
	m.updateEvenCaps(now)
	m.refillBuckets(now, elapsed)
	m.updateTeamWeights(now)
}

// updateLevels works out the levels up to which teams may get what they ask for; demands are those
// of the teams that are not bound.
func (m *Machine) updateLevels(demands []float64) {
	m.level = 0
	switch {
	case m.limits.TokensPerSecond <= 0:
	case len(m.groups) > 0:
		m.updateGroupLevels(demands)
	default:
		m.baseLevel = waterLevel(demands, m.limits.TokensPerSecond)
		m.level = waterLevel(demands, m.limits.TokensPerSecond*m.headroom)
	}
}

// demands notes with each group what its active teams ask for, and returns that of the
// teams that are not bound, and what all teams get.
func (m *Machine) demands(now time.Duration) (unbound []float64, served float64) {
	unbound = make([]float64, 0, len(m.teams))
	for _, t := range m.teams {
		served += t.servedRate(now)
		d := t.offeredRate(now)
		switch {
		case d <= minActiveRate:
		case t.group == nil:
			unbound = append(unbound, d)
		default:
			t.group.demands = append(t.group.demands, d)
		}
	}
	return unbound, served
}

// updateTeamWeights adds up what teams ask of this router. What is refused at the door
// does not count, since it takes little processor time.
func (m *Machine) updateTeamWeights(now time.Duration) {
	sum, squares := 0.0, 0.0
	for _, t := range m.teams {
		own := t.admitted.decay(now)
		sum += own
		squares += own * own
	}
	m.weightScale = 0
	if squares > 0 {
		m.weightScale = sum / squares
	}
}

// TeamWeight returns how much of what this router is asked for is a team's, so
// that the average over what it is asked for is 1.
func (m *Machine) TeamWeight(now time.Duration, team string) float64 {
	t := m.teams[team]
	if t == nil {
		return 0
	}
	return t.admitted.decay(now) * m.weightScale
}

// busy tells how much the engines of a pool have to do; above 1 they are busy.
func (p *pool) busy(now time.Duration) float64 {
	if p.engine == nil {
		return 0
	}
	running, slots, backlogMS, servers := 0, 0, 0.0, 0
	for _, s := range p.admitted {
		if !s.usable(now) || s.cold.active(now) {
			continue
		}
		running += s.totalRunning()
		slots += s.Slots
		backlogMS += float64(s.totalPending()) / p.tokenRateOf(s)
		servers++
	}
	if servers == 0 || slots == 0 {
		return 0
	}
	bySlots := float64(running) / float64(slots) / busySlotFraction
	byBacklog := backlogMS / float64(servers) / (busyBacklogFraction * max(p.objectiveMS, 1))
	return max(bySlots, byBacklog)
}
